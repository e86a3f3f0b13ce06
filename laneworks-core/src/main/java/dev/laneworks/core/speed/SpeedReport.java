package dev.laneworks.core.speed;

/**
 * Speed of a target as one entry knows it, in the form that entries exchange.
 *
 * @param slowness the time that work takes at the target relative to its usual time; 1 is
 * usual
 * @param ageMillis the time since the target reported its slowness, in milliseconds
 * @param millisPerToken the learned mean time between generated tokens at the target's
 * usual speed, in milliseconds; 0 if none is known
 * @param intervalAgeMillis the time since the newest interval between events that the
 * mean includes, in milliseconds
 * @since 0.4
 */
public record SpeedReport(double slowness, long ageMillis, double millisPerToken, long intervalAgeMillis) {

}
