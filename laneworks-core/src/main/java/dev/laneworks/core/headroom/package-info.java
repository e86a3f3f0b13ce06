/**
 * Engine memory that is kept free for running generations and urgent requests.
 */
package dev.laneworks.core.headroom;
