/**
 * State machine of an entry's calls to sidecars, with revocation, retries and
 * reattachment.
 */
package dev.laneworks.core.call;
