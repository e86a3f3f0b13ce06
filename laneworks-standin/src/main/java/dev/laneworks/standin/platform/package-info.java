/**
 * A stand-in for the platform's configuration service and live list.
 */
package dev.laneworks.standin.platform;
