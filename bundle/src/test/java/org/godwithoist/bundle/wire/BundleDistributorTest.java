package org.godwithoist.bundle.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.OperatorSignature;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.json.BundleRows;
import org.godwithoist.bundle.store.BundleOperations.Rolled;
import org.godwithoist.store.Table;
import org.godwithoist.store.Write;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BundleDistributorTest {
    private static final Duration ONE_WAY_DELAY = Duration.ofNanos(1_500_000);
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(5);

    private final FakeFleet fleet = new FakeFleet(6, ONE_WAY_DELAY, 1);

    @AfterEach
    void stop() {
        fleet.close();
    }

    private Rolled roll(int revision, String text) {
        var workflow = fleet.get(0).workflow();
        ProposalId id = workflow.signed(revision, text);
        return workflow.operations.roll(Fixture.BEN, id);
    }

    private boolean inForceEverywhere(long revision) {
        return fleet.daemons.stream().allMatch(d -> d.state().revisionNumber() >= revision);
    }

    @Nested
    class Roll {
        /** Guards against a roll that returns before the peers have the bundle. */
        @Test
        void returnsAfterAllPeersInContact() {
            Rolled rolled = roll(1, Fixture.text(10, 1));
            assertTrue(inForceEverywhere(1));
            assertEquals(6, rolled.report().acknowledged().size());
            assertEquals(List.of(), rolled.report().unacknowledged());
        }

        /** Guards against a report that omits a member at which the head is not in force. */
        @Test
        void namesMembersThatDidNotAcknowledge() {
            fleet.network.disconnect(fleet.get(3).host());
            fleet.network.setLossRate(0);
            Rolled rolled = roll(1, Fixture.text(10, 1));
            assertEquals(List.of(fleet.get(3).host()), rolled.report().outOfContact());
            fleet.network.heal();
            fleet.network.setLossRate(1);
            Rolled lost = roll(2, Fixture.text(10, 2));
            assertEquals(5, lost.report().unacknowledged().size());
        }

        /** Guards against a rolled bundle that reaches only one daemon if the store fails. */
        @Test
        void survivesAStoreThatFailsRightAfter() {
            fleet.start();
            var workflow = fleet.get(0).workflow();
            ProposalId id = workflow.signed(1, Fixture.text(10, 1));
            fleet.network.disconnect(fleet.get(5).host());
            fleet.get(0)
                    .state()
                    .onAdopt(
                            f -> {
                                fleet.table.setFault(StoreFault.DOWN);
                                fleet.objects.setFault(StoreFault.DOWN);
                            });
            Rolled rolled = workflow.operations.roll(Fixture.BEN, id);
            assertEquals(5, rolled.report().acknowledged().size());
            fleet.network.heal();
            assertTrue(FakeFleet.within(PROPAGATION_LIMIT, () -> inForceEverywhere(1)));
        }
    }

    @Nested
    class MissedPush {
        /** Guards against a daemon that retains an old bundle because one message was lost. */
        @Test
        void isRecoveredByExchangeOrPoll() {
            fleet.start();
            fleet.network.disconnect(fleet.get(2).host());
            roll(1, Fixture.text(10, 1));
            // The disconnected daemon still reaches the store.
            assertTrue(FakeFleet.within(PROPAGATION_LIMIT, () -> inForceEverywhere(1)));
            fleet.network.heal();
            fleet.table.setFault(StoreFault.NONE);
            roll(2, Fixture.text(10, 2));
            assertTrue(inForceEverywhere(2));
        }
    }

    @Nested
    class LossyNetwork {
        /** Guards against a rolled bundle that does not spread if messages are lost. */
        @Test
        void stillPutsARolledBundleInForceEverywhere() {
            roll(1, Fixture.text(10, 1));
            fleet.start();
            fleet.network.setLossRate(0.3);
            var workflow = fleet.get(0).workflow();
            ProposalId id = workflow.signed(2, Fixture.text(10, 2));
            fleet.get(0).state().onAdopt(f -> fleet.table.setFault(StoreFault.DOWN));
            workflow.operations.roll(Fixture.BEN, id);
            fleet.objects.setFault(StoreFault.DOWN);
            // Time for three exchanges; the limit of 5 s applies only to members in contact.
            assertTrue(FakeFleet.within(Duration.ofSeconds(8), () -> inForceEverywhere(2)));
        }
    }

    @Nested
    class StartedDaemon {
        /**
         * Guards against a daemon that becomes ready without a head or with an outdated one when it
         * starts during a store outage.
         */
        @Test
        void adoptsTheHighestHeadOfItsPeersDuringAnOutage() {
            roll(1, Fixture.text(10, 1));
            fleet.network.disconnect(fleet.get(4).host());
            roll(2, Fixture.text(10, 2));
            fleet.network.heal();
            fleet.table.setFault(StoreFault.DOWN);
            fleet.objects.setFault(StoreFault.DOWN);
            assertEquals(1, fleet.get(4).state().revisionNumber());
            var started = fleet.restart(5);
            assertFalse(started.distributor().ready());
            started.distributor().start();
            assertTrue(FakeFleet.within(PROPAGATION_LIMIT, () -> started.distributor().ready()));
            assertEquals(2, started.state().revisionNumber());
        }

        /** Guards against a daemon that reports readiness without a bundle. */
        @Test
        void isNotReadyWithoutAHead() {
            fleet.start();
            assertFalse(
                    FakeFleet.within(Duration.ofMillis(300), fleet.get(0).distributor()::ready));
        }

        /** Guards against adopting a head row without valid signatures. */
        @Test
        void rejectsAForgedHeadInTheStore() {
            var id = fleet.get(0).workflow().signed(1, Fixture.text(10, 1));
            var row = fleet.get(0).workflow().tables.proposal(id);
            Head forged =
                    new Head(
                            1,
                            row.value().manifest(),
                            row.value().author(),
                            new OperatorSignature(Fixture.BEN, "AAAA"));
            String value = BundleRows.write(forged);
            fleet.table.commit(List.of(Write.put(Table.BUNDLE_HEAD, "head", value))).join();
            fleet.get(1).distributor().readHead();
            assertEquals(0, fleet.get(1).state().revisionNumber());
        }
    }

    @Nested
    class ChangedParts {
        /** Guards against a change of one workspace that transfers the complete bundle. */
        @Test
        void areTransferredAlone() {
            roll(1, Fixture.text(2_300, 1));
            long before = fleet.get(1).workflow().revisions.fetchedBytes();
            roll(2, Fixture.text(2_300, 2));
            long transferred = fleet.get(1).workflow().revisions.fetchedBytes() - before;
            assertTrue(transferred < 20_000, "transferred " + transferred + " bytes");
        }
    }
}
