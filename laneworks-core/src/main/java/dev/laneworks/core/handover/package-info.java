/**
 * The handing over of all that one process knows of a store to another that starts while
 * the store is out of its reach.
 */
package dev.laneworks.core.handover;
