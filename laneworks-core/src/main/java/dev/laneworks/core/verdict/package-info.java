/**
 * Refusals of requests and the verdict on whether a request may have run.
 */
package dev.laneworks.core.verdict;
