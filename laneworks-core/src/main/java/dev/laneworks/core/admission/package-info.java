/**
 * Admission of requests to an engine's memory while output lengths are unknown.
 */
package dev.laneworks.core.admission;
