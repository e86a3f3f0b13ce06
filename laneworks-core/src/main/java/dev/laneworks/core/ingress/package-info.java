/**
 * Refusal of new requests at an entry whose own capacity is exhausted.
 */
package dev.laneworks.core.ingress;
