/**
 * The platform's configuration document, its checks and the rule that versions only rise.
 */
package dev.laneworks.core.configuration;
