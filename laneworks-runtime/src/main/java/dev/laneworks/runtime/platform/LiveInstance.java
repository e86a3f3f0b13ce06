package dev.laneworks.runtime.platform;

/**
 * An instance as the platform's list shows it, late.
 *
 * @param name the instance's name
 * @param leaving whether it is to be replaced
 * @since 0.1
 */
public record LiveInstance(String name, boolean leaving) {

}
