/**
 * Selection of the target of a request.
 */
package dev.laneworks.core.routing;
