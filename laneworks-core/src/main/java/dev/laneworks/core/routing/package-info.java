/**
 * Chooses the target that a request goes to.
 */
package dev.laneworks.core.routing;
