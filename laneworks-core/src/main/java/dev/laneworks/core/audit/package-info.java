/**
 * Audit events that record decisions and their causes.
 */
package dev.laneworks.core.audit;
