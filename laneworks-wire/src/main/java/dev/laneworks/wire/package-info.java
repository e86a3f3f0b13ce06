/**
 * Links between laneworks processes over TCP.
 */
package dev.laneworks.wire;
