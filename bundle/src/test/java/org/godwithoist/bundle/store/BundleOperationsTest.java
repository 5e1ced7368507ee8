package org.godwithoist.bundle.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.godwithoist.bundle.BundleReference;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.Proposal;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.SignatureRole;
import org.godwithoist.bundle.Stage;
import org.godwithoist.bundle.StageEvent;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.store.ObjectStore;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.Table;
import org.godwithoist.store.Write;
import org.godwithoist.store.fake.FakeObjectStore;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class BundleOperationsTest {
    private static final String SMALL = Fixture.text(3, 1);
    private static final String CHANGED = Fixture.text(3, 2);

    private final Fixture fixture = new Fixture();
    private final FakeTableStore table = new FakeTableStore();
    private final FakeObjectStore objects = new FakeObjectStore();
    private final BundleWorkflow workflow = workflow();

    private BundleWorkflow workflow() {
        return new BundleWorkflow(fixture, new HeadState(fixture.keys()), table, objects);
    }

    private Optional<Head> stored() {
        return workflow.tables.head().value();
    }

    private static RequestException assertFails(ErrorCode code, Runnable action) {
        RequestException e = assertThrows(RequestException.class, action::run);
        assertEquals(code, e.code(), e.getMessage());
        return e;
    }

    @Nested
    class Stages {
        /** Guards against a bundle that is rolled without a review or a signature. */
        @Test
        void cannotBeSkipped() {
            Proposal p = workflow.submit(1, SMALL);
            assertFails(ErrorCode.CONFLICT, () -> workflow.sign(p));
            assertFails(ErrorCode.CONFLICT, () -> workflow.operations.roll(Fixture.BEN, p.id()));
            workflow.operations.review(Fixture.BEN, p.id());
            assertFails(ErrorCode.CONFLICT, () -> workflow.operations.roll(Fixture.BEN, p.id()));
            assertTrue(stored().isEmpty());
        }

        /** Guards against an author who reviews or signs their own bundle. */
        @Test
        void needASecondOperator() {
            Proposal p = workflow.submit(1, SMALL);
            assertFails(
                    ErrorCode.FORBIDDEN, () -> workflow.operations.review(Fixture.ANNA, p.id()));
            workflow.operations.review(Fixture.BEN, p.id());
            String own =
                    fixture.sign(Fixture.ANNA, SignatureRole.SIGNER, 1, p.manifest(), Fixture.ANNA)
                            .base64();
            assertFails(
                    ErrorCode.FORBIDDEN, () -> workflow.operations.sign(Fixture.ANNA, p.id(), own));
            assertFails(
                    ErrorCode.FORBIDDEN, () -> workflow.operations.sign(Fixture.BEN, p.id(), own));
            assertEquals(Stage.REVIEWED, workflow.tables.proposal(p.id()).value().stage());
        }

        /** Guards against a proposal submitted in the name of another operator. */
        @Test
        void needTheAuthorsSignature() {
            assertFails(
                    ErrorCode.FORBIDDEN,
                    () -> workflow.operations.submit(Fixture.ANNA, "b", SMALL, 1, "AAAA"));
            assertEquals(0, table.writes());
        }
    }

    @Nested
    class RacingOperators {
        /** Guards against two bundles that both become the same revision. */
        @Test
        void rollDifferentProposals() {
            ProposalId first = workflow.signed(1, SMALL);
            ProposalId second = workflow.signed(1, CHANGED);
            workflow.operations.roll(Fixture.ANNA, first);
            var e =
                    assertFails(
                            ErrorCode.CONFLICT,
                            () -> workflow.operations.roll(Fixture.BEN, second));
            assertEquals(RunState.NOT_RUN, e.runState());
            assertEquals(BundleWorkflow.manifest(SMALL), stored().orElseThrow().manifest());
        }

        /** Guards against concurrent rolls at several daemons of which more than one succeeds. */
        @Test
        void rollAtTheSameTime() throws InterruptedException {
            List<ProposalId> ids = List.of(workflow.signed(1, SMALL), workflow.signed(1, CHANGED));
            List<String> outcomes = Collections.synchronizedList(new ArrayList<>());
            CountDownLatch start = new CountDownLatch(1);
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                ProposalId id = ids.get(i % 2);
                BundleWorkflow daemon = workflow();
                threads.add(
                        Thread.ofVirtual()
                                .start(
                                        () -> {
                                            try {
                                                start.await();
                                                daemon.operations.roll(Fixture.BEN, id);
                                                outcomes.add("rolled");
                                            } catch (RequestException e) {
                                                outcomes.add(e.code().wireName());
                                            } catch (InterruptedException e) {
                                                outcomes.add("interrupted");
                                            }
                                        }));
            }
            start.countDown();
            for (Thread t : threads) {
                t.join();
            }
            assertEquals(1, Collections.frequency(outcomes, "rolled"), outcomes::toString);
            assertEquals(7, Collections.frequency(outcomes, "conflict"), outcomes::toString);
        }

        /** Guards against a signed proposal whose revision number has been used in the meantime. */
        @Test
        void rollAnOutdatedRevision() {
            ProposalId late = workflow.signed(1, CHANGED);
            workflow.operations.roll(Fixture.ANNA, workflow.signed(1, SMALL));
            workflow.operations.roll(Fixture.ANNA, workflow.signed(2, CHANGED));
            assertFails(ErrorCode.CONFLICT, () -> workflow.operations.roll(Fixture.BEN, late));
            assertFails(ErrorCode.CONFLICT, () -> workflow.submit(2, SMALL));
            assertEquals(2, stored().orElseThrow().revision());
        }
    }

    @Nested
    class LostResponses {
        /**
         * Guards against a write that is reported as failed or applied twice after a store fault.
         */
        @ParameterizedTest
        @EnumSource(names = {"ANSWER_LOST", "REQUEST_LOST", "DOWN"})
        void atEachWrite(StoreFault fault) {
            table.faultNextCommit(fault);
            Proposal p = workflow.submit(1, SMALL);
            table.faultNextCommit(fault);
            workflow.operations.review(Fixture.BEN, p.id());
            table.faultNextCommit(fault);
            workflow.sign(p);
            table.faultNextCommit(fault);
            workflow.operations.roll(Fixture.BEN, p.id());
            assertEquals(1, stored().orElseThrow().revision());
            Proposal rolled = workflow.tables.proposal(p.id()).value();
            assertEquals(4, rolled.events().size());
            assertEquals(5, table.writes());
        }

        /** Guards against a submission that fails because the response to one part is lost. */
        @Test
        void atEachPart() {
            Set<String> firstPuts = new HashSet<>();
            ObjectStore flaky =
                    new ObjectStore() {
                        @Override
                        public CompletableFuture<Void> put(String key, byte[] content) {
                            CompletableFuture<Void> done = objects.put(key, content);
                            return firstPuts.add(key)
                                    ? CompletableFuture.failedFuture(
                                            new StoreUnavailableException("lost response"))
                                    : done;
                        }

                        @Override
                        public CompletableFuture<Optional<byte[]>> get(String key) {
                            return objects.get(key);
                        }
                    };
            BundleWorkflow submitter =
                    new BundleWorkflow(fixture, new HeadState(fixture.keys()), table, flaky);
            ProposalId id = submitter.signed(1, SMALL);
            // Another daemon, which has no parts in memory, finds all of them in the store.
            workflow.operations.roll(Fixture.BEN, id);
            assertEquals(1, stored().orElseThrow().revision());
        }

        /** Guards against a reported success when another operator's write was first. */
        @Test
        void whileAnotherOperatorIsFirst() {
            ProposalId own = workflow.signed(1, SMALL);
            ProposalId other = workflow.signed(1, CHANGED);
            var head = workflow.tables.head();
            var row = workflow.tables.proposal(own);
            workflow.operations.roll(Fixture.BEN, other);
            table.faultNextCommit(StoreFault.ANSWER_LOST);
            Proposal late = row.value().advance(event());
            assertFails(
                    ErrorCode.CONFLICT,
                    () -> workflow.tables.roll(late, row.version(), head.version()));
        }

        /** Guards against reporting "nothing was written" while the outcome is unknown. */
        @Test
        void whileTheStoreIsUnavailable() {
            ProposalId id = workflow.signed(1, SMALL);
            var row = workflow.tables.proposal(id);
            Proposal rolled = row.value().advance(event());
            table.faultNextCommit(StoreFault.ANSWER_LOST);
            table.setFault(StoreFault.DOWN);
            var e =
                    assertFails(
                            ErrorCode.STORE_UNAVAILABLE,
                            () -> workflow.tables.roll(rolled, row.version(), 0));
            assertEquals(RunState.UNKNOWN, e.runState());
            table.setFault(StoreFault.NONE);
            assertEquals(1, stored().orElseThrow().revision());
        }

        private StageEvent event() {
            return new StageEvent(Stage.ROLLED, Fixture.ANNA, Instant.EPOCH, "own attempt");
        }
    }

    @Nested
    class StoreOutage {
        /** Guards against an error that leaves open whether the proposal was rolled. */
        @Test
        void isReportedAsNotRun() {
            ProposalId id = workflow.signed(1, SMALL);
            table.setFault(StoreFault.DOWN);
            var e =
                    assertFails(
                            ErrorCode.STORE_UNAVAILABLE,
                            () -> workflow.operations.roll(Fixture.BEN, id));
            assertEquals(RunState.NOT_RUN, e.runState());
            assertEquals(false, workflow.operations.status().storeAvailable());
        }

        /** Guards against a submitted proposal whose parts are not stored. */
        @Test
        void ofTheObjectStoreFailsASubmission() {
            objects.setFault(StoreFault.DOWN);
            assertFails(ErrorCode.STORE_UNAVAILABLE, () -> workflow.submit(1, SMALL));
            assertEquals(0, table.writes());
        }
    }

    @Nested
    class MalformedRows {
        /** Guards against a malformed head row that is reported as findings of a bundle. */
        @Test
        void areReportedAsInternalErrors() {
            table.commit(List.of(Write.put(Table.BUNDLE_HEAD, "head", "{\"format\": 1}"))).join();
            assertFails(ErrorCode.INTERNAL, () -> workflow.submit(1, SMALL));
        }
    }

    @Nested
    class Reading {
        /** Guards against a history or diff that omits revisions beyond one page of ids. */
        @Test
        void coversAllRevisions() {
            for (int r = 1; r <= 102; r++) {
                workflow.operations.roll(Fixture.BEN, workflow.signed(r, Fixture.text(3, r)));
            }
            List<Long> history =
                    workflow.operations.history(4).stream().map(Proposal::revision).toList();
            assertEquals(List.of(102L, 101L, 100L, 99L), history);
            assertEquals(102, workflow.operations.history(500).size());
            assertEquals(
                    "workspace workspace-0: share changes from 99 to 102",
                    workflow.operations
                            .diff(
                                    Optional.of(BundleReference.parse("99")),
                                    BundleReference.parse("102"))
                            .getFirst()
                            .describe());
        }
    }
}
