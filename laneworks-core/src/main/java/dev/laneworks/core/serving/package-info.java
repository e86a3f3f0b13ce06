/**
 * Serving plan of the operator: routes, services, client accounts and limits.
 */
package dev.laneworks.core.serving;
