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
    private static final long STAMP = 5_000_000_000L;

    private final VirtualTicker clock = new VirtualTicker();
    private HolderDeltaCodec holder = new HolderDeltaCodec(clock);
    private OwnerDeltaCodec owner = new OwnerDeltaCodec(clock);
    private Optional<SlotReport> seen = Optional.empty();
    private SlotReportResponse next = answer(SlotReportResponse.Status.ACCEPTED, 1, List.of());
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

    private static SlotReportResponse answer(
            SlotReportResponse.Status status,
            long epoch,
            List<SlotReportResponse.TargetNews> news) {
        return new SlotReportResponse(SHARD, status, epoch, STAMP, List.of(), news);
    }

    private static SlotReportResponse.TargetNews news(int target, boolean open) {
        TargetId id = new TargetId("t" + target);
        return new SlotReportResponse.TargetNews(id, open, false, Duration.ofMillis(8), 3, "run");
    }

    private ResponseDelta arrive(ReportDelta d) {
        return owner.exchange(
                d,
                r -> {
                    seen = Optional.of(r);
                    return next;
                });
    }

    private SlotReportResponse exchange(SlotReport r) {
        return holder.decode(r, arrive(holder.encode(r)));
    }

    @Group
    class InOrder {
        /** Guards against sending targets whose use and status are unchanged. */
        @Example
        void unchangedUseAndNewsAreNotSentAgain() {
            next =
                    answer(
                            SlotReportResponse.Status.ACCEPTED,
                            1,
                            List.of(news(0, true), news(1, false)));
            exchange(report(use(0, 4), use(1, 2)));
            SlotReport r = report(use(0, 4), use(1, 3));
            ReportDelta d = holder.encode(r);
            assertEquals(List.of(), d.names());
            assertEquals(1, d.uses().size());
            ResponseDelta a = arrive(d);
            assertEquals(List.of(), a.news());
            assertEquals(r, seen.orElseThrow());
            assertEquals(Set.copyOf(next.news()), Set.copyOf(holder.decode(r, a).news()));
        }

        /**
         * Guards against use that remains counted after it has ended, and against targets that
         * remain after their removal from the shard.
         */
        @Example
        void endedUseAndGoneTargetsAreRemoved() {
            next =
                    answer(
                            SlotReportResponse.Status.ACCEPTED,
                            1,
                            List.of(news(0, true), news(1, false)));
            exchange(report(use(0, 4), use(1, 2)));
            next = answer(SlotReportResponse.Status.ACCEPTED, 1, List.of(news(1, false)));
            SlotReportResponse a = exchange(report(use(1, 2)));
            assertEquals(List.of(use(1, 2)), seen.orElseThrow().uses());
            assertEquals(List.of(news(1, false)), a.news());
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
            var d =
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
            assertThrows(IllegalArgumentException.class, () -> arrive(d));
            assertEquals(Optional.empty(), seen);
        }
    }

    @Group
    class Losses {
        /**
         * Guards against a difference that is applied twice because the response to it was lost.
         */
        @Example
        void lostAnswerIsRepairedByACompleteReport() {
            exchange(report(use(0, 1)));
            arrive(holder.encode(report(use(0, 2))));
            seen = Optional.empty();
            SlotReport r = report(use(1, 3));
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASE, exchange(r).status());
            assertEquals(Optional.empty(), seen, "a ledger must not see a difference");
            SlotReport complete = report(use(1, 3));
            ReportDelta d = holder.encode(complete);
            assertEquals(0, d.base());
            arrive(d);
            assertEquals(complete, seen.orElseThrow());
        }

        /**
         * Guards against names that are never sent again after the report that introduced them was
         * lost.
         */
        @Example
        void lostReportRepeatsItsNames() {
            exchange(report(use(0, 1)));
            holder.encode(report(use(0, 1), use(1, 1)));
            SlotReport r = report(use(0, 1), use(1, 2), use(2, 2));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(r).status());
            assertEquals(r, seen.orElseThrow());
        }

        /** Guards against a duplicate message that changes the use a second time. */
        @Example
        void repeatedReportIsRefused() {
            exchange(report(use(0, 1)));
            SlotReport r = report(use(0, 2));
            ReportDelta d = holder.encode(r);
            ResponseDelta a = arrive(d);
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASE, arrive(d).status());
            holder.decode(r, a);
            SlotReport last = report(use(0, 3));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(last).status());
            assertEquals(last, seen.orElseThrow());
        }

        /** Guards against a late response that becomes the baseline of later reports. */
        @Example
        void lateAnswerIsVoid() {
            exchange(report(use(0, 1)));
            SlotReport first = report(use(0, 2));
            ResponseDelta late = arrive(holder.encode(first));
            SlotReport second = report(use(0, 3));
            ReportDelta d = holder.encode(second);
            assertEquals(SlotReportResponse.Status.STALE, holder.decode(first, late).status());
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASE, arrive(d).status());
        }

        /** Guards against an older report that replaces the baseline of a newer one. */
        @Example
        void crossedReportLeavesTheBaseOfTheNewerOne() {
            exchange(report(use(0, 1)));
            ReportDelta first = holder.encode(report(use(0, 2)));
            SlotReport second = report(use(0, 3));
            ResponseDelta a = arrive(holder.encode(second));
            assertEquals(SlotReportResponse.Status.UNKNOWN_BASE, arrive(first).status());
            holder.decode(second, a);
            SlotReport third = report(use(0, 3), use(1, 1));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(third).status());
            assertEquals(third, seen.orElseThrow());
        }

        /**
         * Guards against a late complete report, rejected by the ledger, that becomes the baseline.
         */
        @Example
        void refusedReportIsNoBase() {
            SlotReport first = report(use(0, 1));
            exchange(first);
            next = answer(SlotReportResponse.Status.STALE, 1, List.of());
            arrive(new HolderDeltaCodec(clock).encode(first));
            next = answer(SlotReportResponse.Status.ACCEPTED, 1, List.of());
            SlotReport r = report(use(0, 2));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(r).status());
            assertEquals(r, seen.orElseThrow());
        }
    }

    @Group
    class Owners {
        /** Guards against a difference from a baseline that the owner lost in a restart. */
        @Example
        void restartedOwnerAsksForACompleteReport() {
            exchange(report(use(0, 1)));
            owner = new OwnerDeltaCodec(clock);
            assertEquals(
                    SlotReportResponse.Status.UNKNOWN_BASE, exchange(report(use(0, 1))).status());
            SlotReport r = report(use(0, 1));
            assertEquals(SlotReportResponse.Status.ACCEPTED, exchange(r).status());
            assertEquals(r, seen.orElseThrow());
        }

        /** Guards against a baseline from an earlier epoch, whose ledger no longer exists. */
        @Example
        void newEpochStartsWithACompleteReport() {
            exchange(report(use(0, 1)));
            epoch = 2;
            next = answer(SlotReportResponse.Status.ACCEPTED, 2, List.of());
            SlotReport r = report(use(0, 1));
            ReportDelta d = holder.encode(r);
            assertEquals(0, d.base());
            arrive(d);
            assertEquals(r, seen.orElseThrow());
        }

        /**
         * Guards against an extra round trip of a holder that reports again after a long interval.
         */
        @Example
        void oldBaseIsNotUsed() {
            exchange(report(use(0, 1)));
            clock.advance(Duration.ofSeconds(31));
            assertEquals(0, holder.encode(report(use(0, 1))).base());
        }
    }

    @Group
    class RandomLosses {
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
            int taken = 0;
            begin();
            for (int i = 0; i < 200; i++) {
                change(random);
                epoch += random.nextInt(40) == 0 ? 1 : 0;
                owner = random.nextInt(40) == 0 ? new OwnerDeltaCodec(clock) : owner;
                SlotReport r = randomReport(random);
                sent.add(r);
                ReportDelta d = holder.encode(r);
                if (random.nextInt(5) == 0) {
                    network.add(d);
                }
                if (!network.isEmpty() && random.nextInt(5) == 0) {
                    check(network.get(random.nextInt(network.size())), random);
                }
                if (random.nextInt(8) == 0) {
                    continue;
                }
                ResponseDelta a = check(d, random);
                if (random.nextInt(8) != 0) {
                    SlotReportResponse got = holder.decode(r, a);
                    taken += got.status().accepted() ? 1 : 0;
                    if (got.status().accepted()) {
                        assertEquals(next.stamp(), got.stamp());
                        assertEquals(Set.copyOf(next.news()), Set.copyOf(got.news()));
                        assertEquals(next.grants(), got.grants());
                    }
                }
            }
            assertTrue(taken > 50, "only " + taken + " reports were taken");
        }

        private long newest;
        private long newestEpoch;

        private void begin() {
            holder = new HolderDeltaCodec(clock);
            owner = new OwnerDeltaCodec(clock);
            sequence = 0;
            epoch = 1;
            newest = 0;
            newestEpoch = 0;
            uses.clear();
            sent.clear();
        }

        /** Acts as a ledger that rejects reports which are not newer than the last one accepted. */
        private ResponseDelta check(ReportDelta d, Random random) {
            return owner.exchange(
                    d,
                    r -> {
                        assertTrue(sent.contains(sorted(r)), "the report was never sent: " + r);
                        boolean stale = r.epoch() < newestEpoch || r.sequence() <= newest;
                        newest = stale ? newest : r.sequence();
                        newestEpoch = Math.max(newestEpoch, r.epoch());
                        next = stale ? refused(r) : randomAnswer(random, r);
                        return next;
                    });
        }

        private static SlotReportResponse refused(SlotReport r) {
            return answer(SlotReportResponse.Status.STALE, r.epoch(), List.of());
        }

        private static SlotReport sorted(SlotReport r) {
            return new SlotReport(
                    r.shard(),
                    r.epoch(),
                    r.incarnation(),
                    r.sequence(),
                    r.certainFrom(),
                    r.certainTo(),
                    r.minUse(),
                    r.uses().stream()
                            .sorted(java.util.Comparator.comparing(u -> u.target().value()))
                            .toList(),
                    r.demands(),
                    r.speeds());
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
                                    new SlotReport.Speed(
                                            target, Duration.ofMillis(5), "run" + sequence))));
        }

        private static SlotReportResponse randomAnswer(Random random, SlotReport r) {
            List<SlotReportResponse.TargetNews> news = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                if (random.nextInt(6) != 0) {
                    news.add(news(i, random.nextInt(4) == 0));
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
                    news);
        }
    }
}
