/**
 * Wire protocol between laneworks processes: links over TCP and datagrams over UDP.
 */
package dev.laneworks.wire;
