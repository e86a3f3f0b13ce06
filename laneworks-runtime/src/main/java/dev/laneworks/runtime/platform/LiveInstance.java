package dev.laneworks.runtime.platform;

/**
 * Instance in the platform's live list, which may be out of date.
 *
 * @param name the instance's name
 * @param leaving whether the platform is about to replace the instance
 * @since 0.1
 */
public record LiveInstance(String name, boolean leaving) {

}
