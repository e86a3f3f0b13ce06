/**
 * Current and learned processing speed of targets.
 */
package dev.laneworks.core.speed;
