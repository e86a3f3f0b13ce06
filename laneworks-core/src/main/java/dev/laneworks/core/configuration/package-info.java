/**
 * The platform's configuration document: parsing, validation and versioning.
 */
package dev.laneworks.core.configuration;
