/**
 * Says whether a request may have run, and what a refused caller may do next.
 */
package dev.laneworks.core.verdict;
