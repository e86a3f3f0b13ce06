/**
 * Records what was decided and why.
 */
package dev.laneworks.core.audit;
