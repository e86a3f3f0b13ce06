/**
 * The program that stands beside each target.
 */
package dev.laneworks.sidecar;
