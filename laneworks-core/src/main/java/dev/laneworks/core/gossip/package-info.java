/**
 * Gossip between entries about their membership and their work at targets.
 */
package dev.laneworks.core.gossip;
