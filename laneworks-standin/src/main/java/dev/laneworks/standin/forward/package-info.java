/**
 * TCP forwarder that simulates network faults between two processes.
 */
package dev.laneworks.standin.forward;
