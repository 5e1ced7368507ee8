package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PeerLoadsTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final TargetId ONE = new TargetId("one");

    private final VirtualTicker ticker = new VirtualTicker();
    private final PeerLoads peers = new PeerLoads(ticker);

    private static PeerLoads.Report report(long incarnation, long sequence, int requests) {
        return report(PeerLoads.Scope.OWN, true, incarnation, sequence, requests);
    }

    private static PeerLoads.Report report(
            PeerLoads.Scope scope,
            boolean complete,
            long incarnation,
            long sequence,
            int requests) {
        return new PeerLoads.Report(
                incarnation, sequence, scope, complete, Map.of(ONE, requests), List.of());
    }

    private int requests() {
        return peers.view().requests(ONE);
    }

    @Nested
    final class AllDaemonsReport {
        /** Guards against counting the requests of one daemon only. */
        @Test
        void requestsAddUp() {
            peers.receive(A, report(1, 1, 3));
            peers.receive(B, report(1, 1, 4));
            assertEquals(7, requests());
            assertTrue(peers.view().complete());
        }

        /** Guards against requests that are counted after they ended. */
        @Test
        void laterReportReplacesEarlierOne() {
            peers.receive(A, report(1, 1, 3));
            peers.receive(A, report(1, 2, 1));
            assertEquals(1, requests());
        }
    }

    /** Scenario: datagrams are lost or reordered ({@code lossy}). */
    @Nested
    final class ReorderedReports {
        /** Guards against a delayed report that replaces a newer one. */
        @Test
        void outdatedReportIsIgnored() {
            peers.receive(A, report(1, 2, 1));
            peers.receive(A, report(1, 1, 3));
            assertEquals(1, requests());
        }

        /** Guards against ignoring the reports of a restarted daemon whose clock went backwards. */
        @Test
        void reportsOfANewIncarnationCountFromTheFirst() {
            peers.receive(A, report(5, 900, 3));
            peers.receive(A, report(4, 1, 2));
            assertEquals(2, requests());
        }
    }

    /** Scenario: processes are killed or frozen ({@code node_kill}, {@code node_freeze}). */
    @Nested
    final class UnresponsiveDaemon {
        /**
         * Guards against counting the requests of a terminated daemon, and against reporting the
         * remaining sum as complete.
         */
        @Test
        void itsRequestsExpireAndTheViewIsIncomplete() {
            peers.receive(A, report(1, 1, 3));
            peers.receive(B, report(1, 1, 4));
            ticker.advance(PeerLoads.MAX_REPORT_AGE.minusMillis(1));
            peers.receive(B, report(1, 2, 4));
            ticker.advance(Duration.ofMillis(1));
            assertEquals(4, requests());
            assertFalse(peers.view().complete());
        }

        /**
         * Guards against views that stay incomplete, and so use old load reports, after one daemon
         * is lost.
         */
        @Test
        void itExpiresAndTheViewIsCompleteAgain() {
            peers.receive(A, report(1, 1, 3));
            ticker.advance(PeerLoads.PEER_EXPIRY);
            peers.receive(B, report(1, 1, 4));
            assertTrue(peers.view().complete());
        }

        /** Guards against an empty view of a daemon without peers that is reported as complete. */
        @Test
        void viewWithoutReportsIsIncomplete() {
            assertFalse(peers.view().complete());
        }
    }

    /** In a large fleet, leaders report the sums of failure domains. */
    @Nested
    final class LargeFleet {
        /** Guards against counting requests twice because a leader and a daemon report them. */
        @Test
        void fleetReportOverridesOtherReports() {
            peers.receive(A, report(PeerLoads.Scope.FLEET, true, 1, 1, 9));
            peers.receive(B, report(1, 1, 4));
            assertEquals(9, requests());
            assertTrue(peers.view().complete());
        }

        /** Guards against views that change with each report while two daemons act as leader. */
        @Test
        void reportOfTheFirstLeaderIsUsed() {
            peers.receive(A, report(PeerLoads.Scope.FLEET, true, 1, 1, 9));
            peers.receive(B, report(PeerLoads.Scope.FLEET, true, 1, 1, 5));
            assertEquals(9, requests());
        }

        /** Guards against a sum that is reported as complete although the leader lacks a report. */
        @Test
        void incompleteSumOfALeaderIsIncomplete() {
            peers.receive(A, report(PeerLoads.Scope.FLEET, false, 1, 1, 9));
            assertFalse(peers.view().complete());
        }

        /** Guards against using the last sum of a lost leader indefinitely. */
        @Test
        void sumOfAnUnresponsiveLeaderIsNotUsed() {
            peers.receive(A, report(PeerLoads.Scope.FLEET, true, 1, 1, 9));
            ticker.advance(PeerLoads.MAX_REPORT_AGE);
            assertEquals(0, requests());
            assertFalse(peers.view().complete());
        }

        /** Guards against a leader that omits the sums of other domains. */
        @Test
        void domainSumsAndOwnRequestsAddUp() {
            peers.receive(A, report(PeerLoads.Scope.DOMAIN, true, 1, 1, 9));
            peers.receive(B, report(1, 1, 4));
            assertEquals(13, requests());
            assertEquals(4, peers.ownView().requests(ONE));
            assertEquals(Map.of(ONE, 4), peers.ownRequests(B));
            assertEquals(Map.of(), peers.ownRequests(A));
        }
    }
}
