/**
 * Decision of which data centre serves a request.
 */
package dev.laneworks.core.locality;
