package org.godwithoist.admission;

import java.time.Duration;

/**
 * Timing of the admission protocol. All daemons of a fleet must use the same values, because an
 * owner relies on the waits of the others.
 *
 * @param leaseDuration validity of a shard lease, from the send time of its last renewal
 * @param renewalInterval interval between renewals
 * @param grantTtl time within which a granted slot must be used, from the send time of the report
 *     that requested it
 * @param grantMargin time added to the TTL by the owner; covers clock drift and the transfer time
 *     of the request to the target
 * @param reportInterval interval between slot reports of a holder whose use changes
 * @param idleReportInterval interval between slot reports of a holder whose use does not change
 * @param exchangeTimeout maximum wait for a response of the owner; later responses are discarded
 * @param unresponsiveTimeout time without contact after which a member is treated as unresponsive
 * @param nonCandidateWait time for which a daemon that is not a candidate must see a lease
 *     unchanged before it takes the shard over
 * @param maxPromiseExtension maximum extension of a lease by promises after the last renewal in the
 *     store
 * @param backgroundAgingDelay wait after which background requests are served as interactive ones
 */
public record AdmissionTiming(
        Duration leaseDuration,
        Duration renewalInterval,
        Duration grantTtl,
        Duration grantMargin,
        Duration reportInterval,
        Duration idleReportInterval,
        Duration exchangeTimeout,
        Duration unresponsiveTimeout,
        Duration nonCandidateWait,
        Duration maxPromiseExtension,
        Duration backgroundAgingDelay) {
    /** Timing that daemons use in production. */
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

    /** Returns how long an owner counts a granted slot for which it receives no report. */
    public Duration ownerGrantTtl() {
        return grantTtl.plus(grantMargin);
    }

    /** Returns how long a candidate must see a lease unchanged before it takes the shard over. */
    public Duration takeoverDelay() {
        return leaseDuration.plus(ownerGrantTtl());
    }
}
