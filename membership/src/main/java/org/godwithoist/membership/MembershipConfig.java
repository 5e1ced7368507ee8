package org.godwithoist.membership;

import java.time.Duration;

/**
 * Intervals, timeouts and sizes of the membership. Immutable.
 *
 * @param contactTime a member that responded within this time is in contact
 * @param removalTime a member that did not respond for this time is unresponsive
 * @param roundInterval interval of exchanges with a peer
 * @param callTimeout timeout of an exchange
 * @param ackTimeout maximum time that the response to an operator waits for acknowledgements
 * @param hostListInterval interval of refreshes of the host list
 * @param storeInterval interval of reads of the orders in the store
 * @param storeTimeout timeout of store operations
 * @param memberPullInterval minimum interval between two requests for the members of a peer
 * @param maxMeanGroupSize maximum mean size of a group; with more members there are several groups
 * @param groupContactTime contact time with several groups; longer, because contact with members of
 *     other groups takes two more rounds to arrive
 * @param groupRoundInterval interval of exchanges with a peer of the own group if there are several
 */
public record MembershipConfig(
        Duration contactTime,
        Duration removalTime,
        Duration roundInterval,
        Duration callTimeout,
        Duration ackTimeout,
        Duration hostListInterval,
        Duration storeInterval,
        Duration storeTimeout,
        Duration memberPullInterval,
        int maxMeanGroupSize,
        Duration groupContactTime,
        Duration groupRoundInterval) {
    /**
     * Defaults of the design page. The host list is read every second because a draining target
     * must get no new work 3 s after it is listed. The orders are read from the store only every 5
     * s, because daemons exchange them and 940 daemons share about 2,000 reads per second.
     */
    public static final MembershipConfig DEFAULT =
            new MembershipConfig(
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(15),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(10),
                    32,
                    Duration.ofMillis(2_500),
                    Duration.ofSeconds(1));

    /** Returns a copy with another refresh interval of the host list. */
    public MembershipConfig withHostListInterval(Duration interval) {
        return new MembershipConfig(
                contactTime,
                removalTime,
                roundInterval,
                callTimeout,
                ackTimeout,
                interval,
                storeInterval,
                storeTimeout,
                memberPullInterval,
                maxMeanGroupSize,
                groupContactTime,
                groupRoundInterval);
    }

    /** Returns a copy with another read interval of the orders in the store. */
    public MembershipConfig withStoreInterval(Duration interval) {
        return new MembershipConfig(
                contactTime,
                removalTime,
                roundInterval,
                callTimeout,
                ackTimeout,
                hostListInterval,
                interval,
                storeTimeout,
                memberPullInterval,
                maxMeanGroupSize,
                groupContactTime,
                groupRoundInterval);
    }

    /** Returns a copy with another maximum mean size of a group. */
    public MembershipConfig withMaxMeanGroupSize(int size) {
        return new MembershipConfig(
                contactTime,
                removalTime,
                roundInterval,
                callTimeout,
                ackTimeout,
                hostListInterval,
                storeInterval,
                storeTimeout,
                memberPullInterval,
                size,
                groupContactTime,
                groupRoundInterval);
    }
}
