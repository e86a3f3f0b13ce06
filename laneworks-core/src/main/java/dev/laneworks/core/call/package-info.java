/**
 * An entry's side of a request, from the caller to one generation at one target.
 */
package dev.laneworks.core.call;
