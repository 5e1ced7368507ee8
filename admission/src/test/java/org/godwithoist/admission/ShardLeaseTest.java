package org.godwithoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.godwithoist.admission.wire.LeaseRows;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShardLeaseTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final HostId C = new HostId("c");
    private static final List<HostId> ALL = List.of(A, B, C);

    private final VirtualTicker clock = new VirtualTicker();
    private final FakeTableStore store = new FakeTableStore();
    private final LeaseRows table = new LeaseRows(store);

    private ShardLease lease(HostId host, long incarnation) {
        return new ShardLease(host, incarnation, AdmissionTiming.DEFAULT, clock);
    }

    private void advance(double seconds) {
        clock.advance(Duration.ofNanos((long) (seconds * 1e9)));
    }

    /**
     * Reads if needed and performs the write that the lease requests; returns whether the store
     * responded.
     */
    private boolean step(ShardLease lease) {
        try {
            if (!lease.isLastKnownOwner() || lease.mustRead()) {
                lease.onRead(table.read(VirtualFleet.SHARD).join());
            }
        } catch (CompletionException e) {
            return false;
        }
        Optional<LeaseWrite> write = lease.renewal(ALL).or(() -> lease.takeover(0, ALL));
        write.ifPresent(w -> write(lease, w));
        return true;
    }

    private void write(ShardLease lease, LeaseWrite write) {
        try {
            lease.onWritten(write, table.write(VirtualFleet.SHARD, write).join());
        } catch (CompletionException e) {
            switch (e.getCause()) {
                case ConditionFailedException c -> lease.onConflict(write);
                case OutcomeUnknownException c -> lease.onOutcomeUnknown(write);
                default -> lease.onUnavailable(write);
            }
        }
    }

    private ShardLease owner() {
        ShardLease a = lease(A, 1);
        step(a);
        assertTrue(a.owns());
        return a;
    }

    /**
     * Extends the lease by promises of the given candidates; returns whether all of them promised.
     */
    private boolean extend(ShardLease owner, ShardLease... candidates) {
        var request = owner.promiseRequest();
        boolean allPromised = request.isPresent();
        for (ShardLease candidate : candidates) {
            allPromised = allPromised && candidate.promise(A, request.get().epoch());
        }
        if (allPromised) {
            owner.onAllPromised(request.get());
        }
        return allPromised;
    }

    @Nested
    class Renewal {
        /** Guards against an owner that grants slots after others may have taken the shard over. */
        @Test
        void leaseEndsSixSecondsAfterTheRenewalWasSent() {
            ShardLease a = owner();
            advance(2);
            LeaseWrite w = a.renewal(ALL).orElseThrow();
            advance(3);
            write(a, w);
            advance(2.9);
            assertTrue(a.owns());
            advance(0.1);
            assertFalse(a.owns());
        }

        /** Guards against an owner that releases a shard although no other daemon took it over. */
        @Test
        void expiredOwnerContinuesIfTheRowIsUnchanged() {
            ShardLease a = owner();
            advance(60);
            assertFalse(a.owns());
            step(a);
            assertTrue(a.owns());
            assertEquals(1, a.epoch());
        }
    }

    @Nested
    class Takeover {
        /** Guards against two owners: the wait covers the lease, the grant TTL and the margin. */
        @Test
        void candidateWaitsUntilGrantsOfTheOldOwnerHaveExpired() {
            owner();
            ShardLease b = lease(B, 1);
            step(b);
            advance(8.4);
            step(b);
            assertFalse(b.owns());
            advance(0.1);
            step(b);
            assertTrue(b.owns());
            assertEquals(2, b.epoch());
        }

        /**
         * Guards against an owner that resumes after a pause and grants slots from its outdated
         * ledger.
         */
        @Test
        void pausedOwnerLosesItsShard() {
            ShardLease a = owner();
            ShardLease b = lease(B, 1);
            step(b);
            advance(9);
            step(b);
            assertTrue(b.owns());
            assertFalse(a.owns());
            step(a);
            assertFalse(a.owns(), "its renewal must conflict");
            step(a);
            assertFalse(a.isLastKnownOwner());
            assertEquals(Optional.of(B), a.knownOwner());
        }

        /** Guards against two daemons that both assume that their takeover succeeded. */
        @Test
        void onlyOneOfTwoConcurrentTakeoversSucceeds() {
            owner();
            ShardLease b = lease(B, 1);
            ShardLease c = lease(C, 1);
            step(b);
            step(c);
            advance(9);
            b.onRead(table.read(VirtualFleet.SHARD).join());
            c.onRead(table.read(VirtualFleet.SHARD).join());
            LeaseWrite takeoverOfB = b.takeover(0, ALL).orElseThrow();
            LeaseWrite takeoverOfC = c.takeover(1, ALL).orElseThrow();
            write(b, takeoverOfB);
            write(c, takeoverOfC);
            assertTrue(b.owns());
            assertFalse(c.owns());
        }

        /** Guards against a takeover by a daemon that was not asked for a promise. */
        @Test
        void nonCandidateWaitsTenMinutes() {
            owner();
            ShardLease d = lease(new HostId("d"), 1);
            step(d);
            advance(599);
            step(d);
            assertFalse(d.owns());
            advance(1);
            step(d);
            assertTrue(d.owns());
        }
    }

    @Nested
    class StoreOutage {
        /** Guards against a stop of all requests during a store outage of several minutes. */
        @Test
        void ownerContinuesForMinutesIfAllCandidatesPromise() {
            ShardLease a = owner();
            ShardLease b = lease(B, 1);
            ShardLease c = lease(C, 1);
            step(b);
            step(c);
            store.setFault(StoreFault.DOWN);
            for (int t = 2; t < 536; t += 2) {
                advance(2);
                step(a);
                extend(a, b, c);
                assertTrue(a.owns(), "after " + t + " s");
            }
            advance(8);
            assertFalse(extend(a, b, c), "the limit of nine minutes is reached");
            assertFalse(a.owns());
        }

        /** Guards against an extension without the promise of one of the candidates. */
        @Test
        void ownerStopsWithoutOneOfTheCandidates() {
            ShardLease a = owner();
            store.setFault(StoreFault.DOWN);
            ShardLease b = lease(B, 1);
            assertEquals(java.util.Set.of(B, C), a.promiseRequest().orElseThrow().candidates());
            assertTrue(b.promise(A, 1));
            advance(6);
            assertFalse(a.owns());
        }

        /** Guards against a takeover immediately after the store recovers. */
        @Test
        void promisePostponesTheTakeover() {
            ShardLease a = owner();
            ShardLease b = lease(B, 1);
            ShardLease c = lease(C, 1);
            step(b);
            step(c);
            advance(5);
            assertTrue(extend(a, b, c));
            advance(5);
            assertTrue(a.owns());
            step(b);
            assertFalse(b.owns());
            advance(3.5);
            step(b);
            assertTrue(b.owns());
            assertFalse(a.owns());
        }

        /** Guards against a promise after a takeover that may have taken effect. */
        @Test
        void candidateWithAnUnresolvedTakeoverDoesNotPromise() {
            owner();
            ShardLease b = lease(B, 1);
            step(b);
            advance(9);
            store.faultNextCommit(StoreFault.REQUEST_LOST);
            step(b);
            assertFalse(b.promise(A, 1));
        }
    }

    @Nested
    class LostResponses {
        /** Guards against losing a shard although its renewal took effect. */
        @Test
        void renewalCountsFromItsSendTime() {
            ShardLease a = owner();
            advance(2);
            store.faultNextCommit(StoreFault.ANSWER_LOST);
            step(a);
            advance(3.9);
            step(a);
            assertTrue(a.owns());
            advance(6);
            assertFalse(a.owns());
        }

        /** Guards against an indefinite wait for a write that never reached the store. */
        @Test
        void lostRenewalIsRetried() {
            ShardLease a = owner();
            advance(2);
            store.faultNextCommit(StoreFault.REQUEST_LOST);
            step(a);
            advance(2);
            step(a);
            advance(5.9);
            assertTrue(a.owns());
        }

        /** Guards against a shard without owner after a takeover that took effect. */
        @Test
        void takeoverWithALostResponseIsFoundByReading() {
            owner();
            ShardLease b = lease(B, 1);
            step(b);
            advance(9);
            store.faultNextCommit(StoreFault.ANSWER_LOST);
            step(b);
            assertFalse(b.owns());
            advance(1);
            step(b);
            assertTrue(b.owns());
            assertEquals(2, b.epoch());
        }
    }

    @Nested
    class Restart {
        /** Guards against a candidate that loses its promise in a restart. */
        @Test
        void restartedCandidateWaitsAsIfItHadPromised() {
            ShardLease a = owner();
            advance(5);
            assertTrue(extend(a, lease(B, 1), lease(C, 1)));
            ShardLease b = lease(B, 2);
            step(b);
            advance(6);
            step(b);
            assertFalse(b.owns());
            advance(2.5);
            step(b);
            assertTrue(b.owns());
        }

        /**
         * Guards against a restarted owner that grants slots without its ledger because its record
         * is still stored.
         */
        @Test
        void restartedOwnerIsNotOwnerByItsOldRecord() {
            owner();
            ShardLease restarted = lease(A, 2);
            step(restarted);
            assertFalse(restarted.isLastKnownOwner());
            assertEquals(Optional.empty(), restarted.knownOwner());
            advance(8.5);
            step(restarted);
            assertTrue(restarted.owns());
            assertEquals(2, restarted.epoch());
        }
    }

    @Nested
    class PlannedStop {
        /** Guards against a new owner while grants of the earlier one are valid. */
        @Test
        void shardIsReleasedAfterTheLastGrantHasExpired() {
            ShardLease a = owner();
            ShardLease b = lease(B, 1);
            long lastGrant = clock.nanos();
            a.startRelease();
            assertFalse(a.owns());
            advance(2.4);
            assertEquals(Optional.empty(), a.release(lastGrant));
            advance(0.1);
            write(a, a.release(lastGrant).orElseThrow());
            assertFalse(a.isLastKnownOwner());
            step(b);
            assertTrue(b.owns(), "a shard without owner is taken over immediately");
            assertEquals(2, b.epoch());
        }
    }
}
