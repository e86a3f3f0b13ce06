/**
 * Optional mechanisms of an entry, which can be disabled to measure their effect.
 */
package dev.laneworks.core.mechanism;
