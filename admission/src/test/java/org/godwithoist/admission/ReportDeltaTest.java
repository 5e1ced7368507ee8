package org.godwithoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.VirtualTicker;

/** Tests both delta codecs against each other, without a ledger. */
class ReportDeltaTest {
    private static final ShardId SHARD = new ShardId(new PoolId("p"), 3);
    private static final long OWNER_TIMESTAMP = 5_000_000_000L;

    private final VirtualTicker clock = new VirtualTicker();
    private HolderDeltaCodec holder = new HolderDeltaCodec(clock);
    private OwnerDeltaCodec owner = new OwnerDeltaCodec(clock);
    private Optional<SlotReport> received = Optional.empty();
    private SlotReportResponse nextResponse =
            response(SlotReportResponse.Status.ACCEPTED, 1, List.of());
    private long sequence;
    private long epoch = 1;

    private static SlotReport.TargetUse use(int target, int inUse) {
        return new SlotReport.TargetUse(new TargetId("t" + target), inUse, 1, 0, 0, 1, 0, "");
    }

    private SlotReport report(SlotReport.TargetUse... uses) {
        sequence++;
        return new SlotReport(
                SHARD, epoch, 1, sequence, 10, 20, 2, List.of(uses), List.of(), List.of());
    }

    private static SlotReportResponse response(
            SlotReportResponse.Status status,
            long epoch,
            List<SlotReportResponse.TargetStatus> statuses) {
        return new SlotReportResponse(SHARD, status, epoch, OWNER_TIMESTAMP, List.of(), statuses);
    }

    private static SlotReportResponse.TargetStatus status(int target, boolean open) {
        TargetId id = new TargetId("t" + target);
        return new SlotReportResponse.TargetStatus(id, open, false, Duration.ofMillis(8), 3, "run");
    }

    private ResponseDelta deliver(ReportDelta delta) {
        return owner.exchange(
                delta,
                r -> {
                    received = Optional.of(r);
                    return nextResponse;
                });
    }

    private SlotReportResponse exchange(SlotReport r) {
        return holder.decode(r, deliver(holder.encode(r)));
    }

    @Group
    class InOrder {
        /** Guards against sending targets whose use and status are unchanged. */
        @Example
        void unchangedUseAndStatusAreNotResent() {
            nextResponse =
                    response(
                            SlotReportResponse.Status.ACCEPTED,
                            1,
                            List.of(status(0, true), status(1, false)));
            exchange(report(use(0, 4), use(1, 2)));
            SlotReport report = report(use(0, 4), use(1, 3));
            ReportDelta delta = holder.encode(report);
            assertEquals(List.of(), delta.names());
            assertEquals(1, delta.uses().size());
            ResponseDelta response = deliver(delta);
            assertEquals(List.of(), response.targetStatuses());
            assertEquals(report, received.orElseThrow());
            assertEquals(
                    Set.copyOf(nextResponse.targetStatuses()),
                    Set.copyOf(holder.decode(report, response).targetStatuses()));
        }

        /**
         * Guards against use that remains counted after it has ended, and against targets that
         * remain after their removal from the shard.
         */
        @Example
        void endedUseAndRemovedTargetsAreDropped() {
            nextResponse =
                    response(
                            SlotReportResponse.Status.ACCEPTED,
                            1,
                            List.of(status(0, true), status(1, false)));
            exchange(report(use(0, 4), use(1, 2)));
            nextResponse =
                    response(SlotReportResponse.Status.ACCEPTED, 1, List.of(status(1, false)));
            SlotReportResponse response = exchange(report(use(1, 2)));
            assertEquals(List.of(use(1, 2)), received.orElseThrow().uses());
            assertEquals(List.of(status(1, false)), response.targetStatuses());
        }

        /**
         * Guards against a status update for each small difference of a wait, and against a wait
         * above zero that is rounded to zero.
         */
        @Example
        void waitsAreRounded() {
            assertEquals(Duration.ZERO, OwnerDeltaCodec.rounded(Duration.ZERO));
            assertEquals(Duration.ofMillis(1), OwnerDeltaCodec.rounded(Duration.ofNanos(1)));
            for (long ms = 1; ms < 100_000; ms += 7) {
                long rounded = OwnerDeltaCodec.rounded(Duration.ofMillis(ms)).toMillis();
                assertTrue(4 * Math.abs(rounded - ms) <= ms, ms + " became " + rounded);
            }
            assertEquals(
                    OwnerDeltaCodec.rounded(Duration.ofMillis(1030)),
                    OwnerDeltaCodec.rounded(Duration.ofMillis(1090)));
        }

        /** Guards against a faulty peer that sends a number without a name. */
        @Example
        void unknownNumberIsMalformed() {
            var delta =
                    new ReportDelta(
                            SHARD,
                            1,
                            1,
                            1,
                            0,
                            0,
                            0,
                            0,
                            List.of(),
                            List.of(),
                            List.of(9),
                            List.of(),
                            List.of());
            assertThrows(IllegalArgumentException.class, () -> deliver(delta));
            assertEquals(Optional.empty(), received);
        }
    }

    @Group
    class LostMessages {
        /**
         * Guards against a difference that is applied twice because the response to it was lost.
         */
        @Example
        void lostResponseIsRepairedByACompleteReport() {
            exchange(report(use(0, 1)));
            deliver(holder.encode(report(use(0, 2))));
            received = Optional.empty();
            SlotReport r = report(use(1, 3));
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASELINE, exchange(r).status());
            assertEquals(Optional.empty(), received, "a ledger must not receive a delta");
            SlotReport complete = report(use(1, 3));
            ReportDelta d = holder.encode(complete);
            assertEquals(0, d.baselineSequence());
            deliver(d);
            assertEquals(complete, received.orElseThrow());
        }

        /**
         * Guards against names that are never sent again after the report that introduced them was
         * lost.
         */
        @Example
        void namesOfALostReportAreResent() {
            exchange(report(use(0, 1)));
            holder.encode(report(use(0, 1), use(1, 1)));
            SlotReport r = report(use(0, 1), use(1, 2), use(2, 2));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(r).status());
            assertEquals(r, received.orElseThrow());
        }

        /** Guards against a duplicate message that changes the use a second time. */
        @Example
        void duplicateReportIsRejected() {
            exchange(report(use(0, 1)));
            SlotReport report = report(use(0, 2));
            ReportDelta delta = holder.encode(report);
            ResponseDelta response = deliver(delta);
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASELINE, deliver(delta).status());
            holder.decode(report, response);
            SlotReport last = report(use(0, 3));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(last).status());
            assertEquals(last, received.orElseThrow());
        }

        /** Guards against a late response that becomes the baseline of later reports. */
        @Example
        void lateResponseIsDiscarded() {
            exchange(report(use(0, 1)));
            SlotReport first = report(use(0, 2));
            ResponseDelta late = deliver(holder.encode(first));
            SlotReport second = report(use(0, 3));
            ReportDelta d = holder.encode(second);
            assertEquals(SlotReportResponse.Status.STALE, holder.decode(first, late).status());
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASELINE, deliver(d).status());
        }

        /** Guards against an older report that replaces the baseline of a newer one. */
        @Example
        void olderReportKeepsTheBaselineOfTheNewerOne() {
            exchange(report(use(0, 1)));
            ReportDelta first = holder.encode(report(use(0, 2)));
            SlotReport second = report(use(0, 3));
            ResponseDelta response = deliver(holder.encode(second));
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASELINE, deliver(first).status());
            holder.decode(second, response);
            SlotReport third = report(use(0, 3), use(1, 1));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(third).status());
            assertEquals(third, received.orElseThrow());
        }

        /**
         * Guards against a late complete report, rejected by the ledger, that becomes the baseline.
         */
        @Example
        void rejectedReportIsNoBaseline() {
            SlotReport first = report(use(0, 1));
            exchange(first);
            nextResponse = response(SlotReportResponse.Status.STALE, 1, List.of());
            deliver(new HolderDeltaCodec(clock).encode(first));
            nextResponse = response(SlotReportResponse.Status.ACCEPTED, 1, List.of());
            SlotReport r = report(use(0, 2));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(r).status());
            assertEquals(r, received.orElseThrow());
        }
    }

    @Group
    class OwnerChanges {
        /** Guards against a difference from a baseline that the owner lost in a restart. */
        @Example
        void restartedOwnerAsksForACompleteReport() {
            exchange(report(use(0, 1)));
            owner = new OwnerDeltaCodec(clock);
            assertEquals(
                    SlotReportResponse.Status.UNKNOWN_BASELINE,
                    exchange(report(use(0, 1))).status());
            SlotReport r = report(use(0, 1));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(r).status());
            assertEquals(r, received.orElseThrow());
        }

        /** Guards against a baseline from an earlier epoch, whose ledger no longer exists. */
        @Example
        void newEpochStartsWithACompleteReport() {
            exchange(report(use(0, 1)));
            epoch = 2;
            nextResponse = response(SlotReportResponse.Status.ACCEPTED, 2, List.of());
            SlotReport r = report(use(0, 1));
            ReportDelta d = holder.encode(r);
            assertEquals(0, d.baselineSequence());
            deliver(d);
            assertEquals(r, received.orElseThrow());
        }

        /**
         * Guards against an extra round trip of a holder that reports again after a long interval.
         */
        @Example
        void outdatedBaselineIsNotUsed() {
            exchange(report(use(0, 1)));
            clock.advance(Duration.ofSeconds(31));
            assertEquals(0, holder.encode(report(use(0, 1))).baselineSequence());
        }
    }

    @Group
    class RandomFaults {
        private final List<SlotReport.TargetUse> uses = new ArrayList<>();
        private final Set<SlotReport> sent = new HashSet<>();

        /**
         * Guards against a decoded report or response that differs from the complete one after any
         * order of losses, duplicates, late messages, restarts and new epochs.
         */
        @Property(tries = 500)
        void appliedReportEqualsTheCompleteOne(@ForAll long seed) {
            Random random = new Random(seed);
            List<ReportDelta> network = new ArrayList<>();
            int accepted = 0;
            reset();
            for (int i = 0; i < 200; i++) {
                change(random);
                epoch += random.nextInt(40) == 0 ? 1 : 0;
                owner = random.nextInt(40) == 0 ? new OwnerDeltaCodec(clock) : owner;
                SlotReport report = randomReport(random);
                sent.add(report);
                ReportDelta delta = holder.encode(report);
                if (random.nextInt(5) == 0) {
                    network.add(delta);
                }
                if (!network.isEmpty() && random.nextInt(5) == 0) {
                    deliverChecked(network.get(random.nextInt(network.size())), random);
                }
                if (random.nextInt(8) == 0) {
                    continue;
                }
                ResponseDelta response = deliverChecked(delta, random);
                if (random.nextInt(8) != 0) {
                    SlotReportResponse decoded = holder.decode(report, response);
                    accepted += decoded.status().accepted() ? 1 : 0;
                    if (decoded.status().accepted()) {
                        assertEquals(nextResponse.ownerTimestamp(), decoded.ownerTimestamp());
                        assertEquals(
                                Set.copyOf(nextResponse.targetStatuses()),
                                Set.copyOf(decoded.targetStatuses()));
                        assertEquals(nextResponse.grants(), decoded.grants());
                    }
                }
            }
            assertTrue(accepted > 50, "only " + accepted + " reports were accepted");
        }

        private long newestSequence;
        private long newestEpoch;

        private void reset() {
            holder = new HolderDeltaCodec(clock);
            owner = new OwnerDeltaCodec(clock);
            sequence = 0;
            epoch = 1;
            newestSequence = 0;
            newestEpoch = 0;
            uses.clear();
            sent.clear();
        }

        /** Acts as a ledger that rejects reports which are not newer than the last one accepted. */
        private ResponseDelta deliverChecked(ReportDelta delta, Random random) {
            return owner.exchange(
                    delta,
                    r -> {
                        assertTrue(sent.contains(sorted(r)), "the report was never sent: " + r);
                        boolean stale = r.epoch() < newestEpoch || r.sequence() <= newestSequence;
                        newestSequence = stale ? newestSequence : r.sequence();
                        newestEpoch = Math.max(newestEpoch, r.epoch());
                        nextResponse = stale ? stale(r) : randomResponse(random, r);
                        return nextResponse;
                    });
        }

        private static SlotReportResponse stale(SlotReport r) {
            return response(SlotReportResponse.Status.STALE, r.epoch(), List.of());
        }

        private static SlotReport sorted(SlotReport r) {
            return new SlotReport(
                    r.shard(),
                    r.epoch(),
                    r.incarnation(),
                    r.sequence(),
                    r.minIntervalStart(),
                    r.minIntervalEnd(),
                    r.minTotalInUse(),
                    r.uses().stream()
                            .sorted(java.util.Comparator.comparing(u -> u.target().value()))
                            .toList(),
                    r.demands(),
                    r.latencySamples());
        }

        private void change(Random random) {
            int target = random.nextInt(6);
            uses.removeIf(u -> u.target().equals(new TargetId("t" + target)));
            if (random.nextInt(3) != 0) {
                uses.add(use(target, random.nextInt(4)));
            }
        }

        private SlotReport randomReport(Random random) {
            sequence++;
            TargetId target = new TargetId("t" + random.nextInt(6));
            WorkspaceId workspace = new WorkspaceId("w" + random.nextInt(400));
            return sorted(
                    new SlotReport(
                            SHARD,
                            epoch,
                            1,
                            sequence,
                            random.nextInt(1000),
                            random.nextInt(1000),
                            random.nextInt(9),
                            uses,
                            List.of(
                                    new SlotReport.Demand(
                                            target,
                                            workspace,
                                            Priority.URGENT,
                                            2,
                                            Duration.ofMillis(3))),
                            List.of(
                                    new SlotReport.LatencySample(
                                            target, Duration.ofMillis(5), "run" + sequence))));
        }

        private static SlotReportResponse randomResponse(Random random, SlotReport r) {
            List<SlotReportResponse.TargetStatus> statuses = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                if (random.nextInt(6) != 0) {
                    statuses.add(status(i, random.nextInt(4) == 0));
                }
            }
            SlotReport.Demand d = r.demands().getFirst();
            var grant = new SlotReportResponse.Grant(d.target(), d.workspace(), d.priority(), 1);
            return new SlotReportResponse(
                    SHARD,
                    SlotReportResponse.Status.ACCEPTED,
                    r.epoch(),
                    random.nextLong(1L << 40),
                    List.of(grant),
                    statuses);
        }
    }
}
