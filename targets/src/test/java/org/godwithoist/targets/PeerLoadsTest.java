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

    private static PeerLoads.Report report(long start, long sequence, int calls) {
        return report(PeerLoads.Scope.OWN, true, start, sequence, calls);
    }

    private static PeerLoads.Report report(
            PeerLoads.Scope scope, boolean complete, long start, long sequence, int calls) {
        return new PeerLoads.Report(
                start, sequence, scope, complete, Map.of(ONE, calls), List.of());
    }

    private int calls() {
        return peers.view().calls(ONE);
    }

    @Nested
    final class AllTell {
        /** Guards against counting the requests of one daemon only. */
        @Test
        void callsAddUp() {
            peers.take(A, report(1, 1, 3));
            peers.take(B, report(1, 1, 4));
            assertEquals(7, calls());
            assertTrue(peers.view().complete());
        }

        /** Guards against requests that are counted after they ended. */
        @Test
        void laterReportReplacesTheOneBefore() {
            peers.take(A, report(1, 1, 3));
            peers.take(A, report(1, 2, 1));
            assertEquals(1, calls());
        }
    }

    /** Pattern: datagrams are lost or reordered ({@code lossy}). */
    @Nested
    final class DisorderedReports {
        /** Guards against a delayed report that replaces a newer one. */
        @Test
        void overtakenReportIsLeftOut() {
            peers.take(A, report(1, 2, 1));
            peers.take(A, report(1, 1, 3));
            assertEquals(1, calls());
        }

        /** Guards against ignoring the reports of a restarted daemon whose clock went backwards. */
        @Test
        void reportsOfANewStartCountFromTheirFirst() {
            peers.take(A, report(5, 900, 3));
            peers.take(A, report(4, 1, 2));
            assertEquals(2, calls());
        }
    }

    /** Pattern: processes are killed or frozen ({@code node_kill}, {@code node_freeze}). */
    @Nested
    final class SilentDaemon {
        /**
         * Guards against counting the requests of a terminated daemon, and against reporting the
         * remaining sum as complete.
         */
        @Test
        void itsCallsEndAndTheViewIsNotComplete() {
            peers.take(A, report(1, 1, 3));
            peers.take(B, report(1, 1, 4));
            ticker.advance(PeerLoads.FRESH.minusMillis(1));
            peers.take(B, report(1, 2, 4));
            ticker.advance(Duration.ofMillis(1));
            assertEquals(4, calls());
            assertFalse(peers.view().complete());
        }

        /**
         * Guards against views that stay incomplete, and so use old load reports, after one daemon
         * is lost.
         */
        @Test
        void itIsNotExpectedForLong() {
            peers.take(A, report(1, 1, 3));
            ticker.advance(PeerLoads.EXPECTED);
            peers.take(B, report(1, 1, 4));
            assertTrue(peers.view().complete());
        }

        /** Guards against an empty view of a daemon without peers that is reported as complete. */
        @Test
        void viewWithoutReportsIsNotComplete() {
            assertFalse(peers.view().complete());
        }
    }

    /** In a large fleet, leaders report the sums of failure domains. */
    @Nested
    final class LargeFleet {
        /** Guards against counting requests twice because a leader and a daemon report them. */
        @Test
        void whatALeaderTellsOfTheFleetGoesBeforeTheRest() {
            peers.take(A, report(PeerLoads.Scope.FLEET, true, 1, 1, 9));
            peers.take(B, report(1, 1, 4));
            assertEquals(9, calls());
            assertTrue(peers.view().complete());
        }

        /** Guards against views that change with each report while two daemons act as leader. */
        @Test
        void firstLeaderGoesBeforeTheSecond() {
            peers.take(A, report(PeerLoads.Scope.FLEET, true, 1, 1, 9));
            peers.take(B, report(PeerLoads.Scope.FLEET, true, 1, 1, 5));
            assertEquals(9, calls());
        }

        /** Guards against a sum that is reported as complete although the leader lacks a report. */
        @Test
        void sumOfALeaderWithoutAllPartsIsNotComplete() {
            peers.take(A, report(PeerLoads.Scope.FLEET, false, 1, 1, 9));
            assertFalse(peers.view().complete());
        }

        /** Guards against using the last sum of a lost leader indefinitely. */
        @Test
        void sumOfASilentLeaderIsNotUsed() {
            peers.take(A, report(PeerLoads.Scope.FLEET, true, 1, 1, 9));
            ticker.advance(PeerLoads.FRESH);
            assertEquals(0, calls());
            assertFalse(peers.view().complete());
        }

        /** Guards against a leader that omits the sums of other domains. */
        @Test
        void sumsOfDomainsAddUpWithOwnCalls() {
            peers.take(A, report(PeerLoads.Scope.DOMAIN, true, 1, 1, 9));
            peers.take(B, report(1, 1, 4));
            assertEquals(13, calls());
            assertEquals(4, peers.own().calls(ONE));
            assertEquals(Map.of(ONE, 4), peers.ownCalls(B));
            assertEquals(Map.of(), peers.ownCalls(A));
        }
    }
}
