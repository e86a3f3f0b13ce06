/**
 * Distribution of the configuration from the platform's service and between peers.
 */
package dev.laneworks.core.peer;
