/**
 * A forwarder between two processes whose links can be cut.
 */
package dev.laneworks.standin.forward;
