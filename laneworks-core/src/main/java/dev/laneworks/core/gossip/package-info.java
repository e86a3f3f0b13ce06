/**
 * What entries tell each other of the work that they have at targets, and which entries
 * there are.
 */
package dev.laneworks.core.gossip;
