/**
 * Fair shares of scarce engine memory among client accounts.
 */
package dev.laneworks.core.shares;
