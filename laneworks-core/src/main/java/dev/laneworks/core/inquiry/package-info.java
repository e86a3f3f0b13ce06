/**
 * Asks engines themselves whether they are leaving, while their list can't be read.
 */
package dev.laneworks.core.inquiry;
