/**
 * A caller that streams, checks and measures answers.
 */
package dev.laneworks.standin.client;
