/**
 * Direct queries to engines whether they are draining, while the list of targets is
 * unavailable.
 */
package dev.laneworks.core.inquiry;
