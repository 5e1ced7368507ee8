package org.godwithoist.admission;

import java.time.Duration;

/**
 * Times of the admission protocol. All daemons of a fleet must use the same ones, because an owner
 * relies on the waits of the others.
 *
 * @param leaseDuration time for which a renewal keeps a shard
 * @param renewalInterval time between renewals
 * @param grantTtl time in which a granted slot must be used, from the send time of its request
 * @param margin added to the TTL by the owner; covers drift of clocks and the way to the target
 * @param reportEvery time between use reports of a holder with work
 * @param idleReportEvery time between use reports of a holder without work
 * @param exchangeTimeout longest wait for an owner's answer; later answers are void
 * @param unresponsiveTimeout time after which a member without a sign of life is left out
 * @param outsiderWait time for which a daemon that is no candidate must see a lease unchanged
 * @param promiseLimit longest extension by promises after the last renewal in the store
 * @param ageAfter wait after which background work is served as interactive
 */
public record AdmissionTiming(
        Duration leaseDuration,
        Duration renewalInterval,
        Duration grantTtl,
        Duration margin,
        Duration reportEvery,
        Duration idleReportEvery,
        Duration exchangeTimeout,
        Duration unresponsiveTimeout,
        Duration outsiderWait,
        Duration promiseLimit,
        Duration ageAfter) {
    /** Times of the design page. */
    public static final AdmissionTiming DEFAULT =
            new AdmissionTiming(
                    Duration.ofSeconds(6),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(15),
                    Duration.ofMinutes(10),
                    Duration.ofMinutes(9),
                    Duration.ofSeconds(10));

    /** Returns how long an owner counts a granted slot that nobody reports. */
    public Duration grantLife() {
        return grantTtl.plus(margin);
    }

    /** Returns how long a candidate must see a lease unchanged before it takes the shard over. */
    public Duration takeoverWait() {
        return leaseDuration.plus(grantLife());
    }
}
