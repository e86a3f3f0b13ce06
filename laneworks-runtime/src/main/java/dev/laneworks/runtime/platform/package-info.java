/**
 * Clients of the platform's configuration service and live list.
 */
package dev.laneworks.runtime.platform;
