/**
 * Stand-in for the platform's configuration service and its list of live instances.
 */
package dev.laneworks.standin.platform;
