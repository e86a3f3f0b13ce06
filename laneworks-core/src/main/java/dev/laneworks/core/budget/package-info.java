/**
 * Retry budget that all entries share without a shared counter: each spends what its own
 * requests allow, and lends to others what it does not need.
 */
package dev.laneworks.core.budget;
