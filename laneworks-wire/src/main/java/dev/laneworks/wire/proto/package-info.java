/**
 * Generated from laneworks.proto; not to be edited.
 */
package dev.laneworks.wire.proto;
