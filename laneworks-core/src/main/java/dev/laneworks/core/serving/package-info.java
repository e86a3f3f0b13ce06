/**
 * What the operator lets be served: routes, services, client accounts and limits, as one
 * version of one plan.
 */
package dev.laneworks.core.serving;
