package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link RejectionLimiter}. */
final class RejectionLimiterTest {
    private static final FleetShare ALONE = new FleetShare(1, 0);
    private static final int SALT = 7;
    private static final int SLOTS = 8;

    private final RejectionLimiter limiter = new RejectionLimiter();
    private int own;

    private static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    private void state(int perSecond) {
        limiter.recordStatement(Optional.of(new RejectionLimit(perSecond)), 0, 0);
    }

    private Room room(int others, boolean complete) {
        return new Room(SLOTS, others, own, false, complete);
    }

    /** Sends as many requests as are permitted at one moment and returns their number. */
    private int sendAll(Room template, FleetShare share, double at) {
        int sent = 0;
        while (sent <= 2 * SLOTS) {
            Room room =
                    new Room(
                            template.slots(),
                            template.others(),
                            own,
                            template.queued(),
                            template.complete());
            if (!limiter.permits(room, share, SALT, nanos(at))) {
                return sent;
            }
            limiter.recordSent(room, share, SALT, nanos(at));
            own++;
            sent++;
        }
        return sent;
    }

    @Nested
    final class FreeSlots {
        /** Guards against a target that has room and is not used fully. */
        @Test
        void oneDaemonFillsAllSlots() {
            state(0);
            assertEquals(SLOTS, sendAll(room(0, true), ALONE, 1));
        }

        /** Guards against limits for targets that state none. */
        @Test
        void withoutALimitEverythingIsPermitted() {
            assertTrue(limiter.permits(room(100, true), ALONE, SALT, 0));
        }

        /**
         * Guards against daemons that all fill the slots that they see free at the same moment, and
         * against daemons that see no reports and fill all of them.
         */
        @ParameterizedTest
        @CsvSource({"16, 0, true", "16, 0, false", "16, 7, true", "95, 3, true", "3, 2, true"})
        void daemonsTogetherSendNoMoreThanIsFree(int members, int others, boolean complete) {
            int sent = 0;
            for (int rank = 0; rank < members; rank++) {
                RejectionLimiterTest daemon = new RejectionLimiterTest();
                daemon.state(0);
                FleetShare share = new FleetShare(members, rank);
                sent += daemon.sendAll(room(others, complete), share, 1);
                sent += daemon.sendAll(room(others, complete), share, 1.1);
            }
            assertTrue(sent <= SLOTS - others, "requests: " + sent);
            assertTrue(sent > 0, "the free slots are not used");
        }

        /** Guards against a place that no daemon uses because one has just used it. */
        @Test
        void reportedRequestsLeaveTheOtherSlotsToAll() {
            state(0);
            FleetShare share = new FleetShare(2, 1);
            assertEquals(SLOTS / 2, sendAll(room(0, true), share, 1));
            assertEquals(SLOTS / 4, sendAll(room(0, true), share, 2));
        }

        /** Guards against a target whose queue is not empty although it has free slots. */
        @Test
        void targetWithAQueueHasNoRoomForCertain() {
            state(0);
            assertEquals(0, sendAll(new Room(SLOTS, 0, 0, true, true), ALONE, 1));
            state(4);
            assertEquals(3, sendAll(new Room(SLOTS, 0, 0, true, true), ALONE, 1));
        }
    }

    @Nested
    final class RiskedRequests {
        /** Guards against rejections beyond the limit if the view of all daemons is wrong. */
        @ParameterizedTest
        @CsvSource({"1, 4", "4, 4", "16, 4", "16, 1", "16, 0", "16, 40", "95, 10"})
        void rejectionsOfAllDaemonsHoldToTheLimit(int members, int perSecond) {
            int rejected = 0;
            for (int rank = 0; rank < members; rank++) {
                RejectionLimiterTest daemon = new RejectionLimiterTest();
                daemon.state(perSecond);
                FleetShare share = new FleetShare(members, rank);
                // One slot is free in the view of all, and the target rejects each request.
                for (double at = 1; at < 2; at += 0.1) {
                    int sent = daemon.sendAll(new Room(SLOTS, 7, 0, false, true), share, at);
                    for (int i = 0; i < sent; i++) {
                        daemon.limiter.recordRejected(daemon.limiter.takeSent(), nanos(at));
                        daemon.own--;
                        rejected++;
                    }
                }
            }
            assertTrue(rejected <= Math.max(1, perSecond), "rejections: " + rejected);
        }

        /** Guards against requests to a target that is known to be full. */
        @Test
        void nothingIsRiskedWithoutAFreeSlot() {
            state(100);
            assertEquals(0, sendAll(room(SLOTS, true), ALONE, 1));
        }

        /** Guards against a part of the budget that is used up by accepted requests. */
        @Test
        void acceptedRequestsNoLongerCount() {
            state(2);
            FleetShare share = shareWithOnlyABudget();
            assertEquals(1, sendAll(room(7, true), share, 1));
            limiter.recordAccepted(limiter.takeSent().orElseThrow());
            own--;
            assertEquals(1, sendAll(room(7, true), share, 1.1));
        }

        /** Guards against a target that falls silent and rejects everything when it goes on. */
        @Test
        void requestsWithoutAResponseCountForALimitedTime() {
            state(2);
            FleetShare share = shareWithOnlyABudget();
            assertEquals(1, sendAll(room(6, true), share, 1));
            own = 0;
            assertEquals(0, sendAll(room(7, true), share, 2.4));
            assertEquals(1, sendAll(room(7, true), share, 2.5));
        }

        /** Guards against a newly joined daemon that uses what the others divide. */
        @Test
        void newlyJoinedDaemonHasNoBudget() {
            state(100);
            FleetShare share = shareWithOnlyABudget();
            FleetShare joined = new FleetShare(share.members(), share.rank(), true);
            assertEquals(0, sendAll(room(7, true), joined, 1));
        }

        /** Returns the share of a daemon that may risk a request and may not fill the last slot. */
        private FleetShare shareWithOnlyABudget() {
            int members = 4;
            for (int rank = 0; rank < members; rank++) {
                FleetShare share = new FleetShare(members, rank);
                if (share.of(1, SALT) == 0 && share.of(1, SALT + members / 2) == 1) {
                    return share;
                }
            }
            throw new AssertionError("no daemon with a budget only");
        }
    }

    @Nested
    final class Statements {
        /** Guards against a limit that stays although it is long unheard of. */
        @Test
        void limitExpires() {
            state(3);
            assertFalse(limiter.expire(StatedLimit.EXPIRY.minusMillis(1).toNanos()));
            assertTrue(limiter.expire(StatedLimit.EXPIRY.toNanos()));
        }

        /** Guards against a daemon that is not told of a limit before it sends requests. */
        @Test
        void limitIsToldToOtherDaemons() {
            TargetIncarnation target = Samples.entry(1).incarnation();
            state(3);
            RejectionLimiter other = new RejectionLimiter();
            assertTrue(other.recordNews(limiter.news(target, nanos(1)).orElseThrow(), nanos(50)));
            assertEquals(Optional.of(new RejectionLimit(3)), other.limit());
            Duration age = other.news(target, nanos(50)).orElseThrow().age();
            assertEquals(Duration.ofSeconds(1), age);
        }
    }
}
