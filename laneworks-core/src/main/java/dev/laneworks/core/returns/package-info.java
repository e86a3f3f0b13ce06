/**
 * Times at which refused callers are told to return, in step with the engine memory that
 * is released.
 */
package dev.laneworks.core.returns;
