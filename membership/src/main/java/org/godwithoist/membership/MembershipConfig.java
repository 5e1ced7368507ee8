package org.godwithoist.membership;

import java.time.Duration;

/**
 * Times of the membership. Immutable.
 *
 * @param contactTime a member that answered within this time is in contact
 * @param removalTime a member without an answer for this time is silent
 * @param round time between two exchanges with a peer
 * @param callTimeout time after which an exchange has failed
 * @param ackWait how long the answer to an operator waits for acknowledgements
 * @param hostListInterval time between two reads of the host list
 * @param storeInterval time between two reads of the orders in the store
 * @param storeTimeout time after which an operation of the store has failed
 * @param memberPullInterval shortest time between two requests for the members of a peer
 * @param groupSize highest mean size of a group; with more members there are several groups
 * @param groupContactTime contact time with several groups; longer, because contact with members of
 *     other groups is learnt through two further rounds
 * @param groupRound time between two exchanges with a peer of the own group if there are several
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
     * Times of the design page. The host list is read every second because a leaving target must
     * get no new work 3 s after it is listed. The store is read for orders every 5 s only, because
     * orders travel between daemons and 940 daemons share about 2,000 reads per second.
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

    /** Returns a copy with another interval of reads of the host list. */
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

    /** Returns a copy with another interval of reads of the orders in the store. */
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

    /** Returns a copy with another size of groups. */
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
