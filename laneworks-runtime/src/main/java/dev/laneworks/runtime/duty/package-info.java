/**
 * Threads for single duties, joined by bounded rings and restarted by supervisors.
 */
package dev.laneworks.runtime.duty;
