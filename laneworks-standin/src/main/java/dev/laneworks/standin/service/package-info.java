/**
 * Stand-in for a plain service.
 */
package dev.laneworks.standin.service;
