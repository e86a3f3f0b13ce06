package dev.laneworks.core.locality;

/**
 * Expected wait at one candidate target.
 *
 * @param dataCentre the data centre of the target
 * @param waitMillis the expected time for which a request is delayed there, in
 * milliseconds
 * @param freeCapacity the unused part of the target's capacity, from 0 to 1, relative to
 * its speed
 * @since 0.4
 */
public record TargetWait(String dataCentre, double waitMillis, double freeCapacity) {

}
