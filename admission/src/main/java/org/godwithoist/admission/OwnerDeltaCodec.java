package org.godwithoist.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Ticker;

/**
 * Delta codec of the owner for one holder of a shard: applies the differences of a report to the
 * last accepted report and encodes the response as the difference from the previous response. The
 * ledger receives complete reports only. Thread-safe.
 */
public final class OwnerDeltaCodec {
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private Optional<DeltaBase> base = Optional.empty();
    private long usedAt;

    /** Creates a codec without a baseline; only a complete report is accepted first. */
    public OwnerDeltaCodec(Ticker ticker) {
        this.ticker = ticker;
        this.usedAt = ticker.nanos();
    }

    /**
     * Applies a report to its baseline and encodes the response.
     *
     * @param d report of the holder
     * @param ledger processes the complete report; not called if the baseline is unknown
     * @throws IllegalArgumentException if the report contains an unknown number
     */
    public ResponseDelta exchange(ReportDelta d, Function<SlotReport, SlotReportResponse> ledger) {
        // Concurrent reports must not be applied to the baseline of each other, so the lock covers
        // the call.
        lock.lock();
        try {
            usedAt = ticker.nanos();
            Optional<DeltaBase> from = d.base() == 0 ? Optional.empty() : base;
            boolean known = from.filter(b -> fits(b, d)).isPresent();
            if (d.base() != 0 && !known) {
                return refusal(SlotReportResponse.Status.UNKNOWN_BASE, 0);
            }
            NameTable names = from.map(b -> b.reportNames()).orElseGet(NameTable::new);
            names.rollback();
            d.names().forEach(names::add);
            SlotReport report = complete(d, from, names);
            SlotReportResponse answer = ledger.apply(report);
            if (!answer.status().accepted()) {
                return refusal(answer.status(), answer.epoch() - report.epoch());
            }
            names.commit();
            return difference(report, answer, from, names);
        } finally {
            lock.unlock();
        }
    }

    private static boolean fits(DeltaBase b, ReportDelta d) {
        return b.precedes(d.incarnation(), d.epoch()) && b.report().sequence() == d.base();
    }

    private static ResponseDelta refusal(SlotReportResponse.Status status, long epoch) {
        return new ResponseDelta(
                status, epoch, 0, false, List.of(), List.of(), List.of(), List.of());
    }

    private static SlotReport complete(ReportDelta d, Optional<DeltaBase> from, NameTable names) {
        Map<TargetId, SlotReport.TargetUse> uses =
                new LinkedHashMap<>(from.map(b -> b.uses()).orElse(Map.of()));
        d.ended().forEach(n -> uses.remove(new TargetId(names.name(n))));
        for (ReportDelta.Use u : d.uses()) {
            TargetId target = new TargetId(names.name(u.target()));
            uses.put(
                    target,
                    new SlotReport.TargetUse(
                            target,
                            u.inUse(),
                            u.unused(),
                            u.reservedInUse(),
                            u.minInUse(),
                            u.reservedHeld(),
                            u.grown(),
                            names.name(u.targetIncarnation())));
        }
        List<SlotReport.Demand> demands = new ArrayList<>();
        for (ReportDelta.Demand q : d.demands()) {
            demands.add(
                    new SlotReport.Demand(
                            new TargetId(names.name(q.target())),
                            new WorkspaceId(names.name(q.workspace())),
                            q.priority(),
                            q.count(),
                            q.waited()));
        }
        List<SlotReport.Speed> speeds = new ArrayList<>();
        for (ReportDelta.Speed s : d.speeds()) {
            speeds.add(
                    new SlotReport.Speed(
                            new TargetId(names.name(s.target())),
                            s.firstToken(),
                            names.name(s.targetIncarnation())));
        }
        return new SlotReport(
                d.shard(),
                d.epoch(),
                d.incarnation(),
                d.sequence(),
                d.certainFrom() + from.map(b -> b.report().certainTo()).orElse(0L),
                d.certainTo() + from.map(b -> b.stamp()).orElse(0L),
                d.minUse() + from.map(b -> b.report().minUse()).orElse(0),
                List.copyOf(uses.values()),
                demands,
                speeds);
    }

    private ResponseDelta difference(
            SlotReport r, SlotReportResponse a, Optional<DeltaBase> from, NameTable reportNames) {
        // A complete response restarts the name table, which bounds the memory for names.
        Optional<DeltaBase> since =
                from.filter(b -> b.answerNames().size() <= HolderDeltaCodec.MAX_NAMES);
        NameTable names = since.map(b -> b.answerNames()).orElseGet(NameTable::new);
        Map<TargetId, SlotReportResponse.TargetNews> before =
                new LinkedHashMap<>(since.map(b -> b.news()).orElse(Map.of()));
        Map<TargetId, SlotReportResponse.TargetNews> now = new LinkedHashMap<>();
        List<String> added = new ArrayList<>();
        List<ResponseDelta.News> news = new ArrayList<>();
        for (SlotReportResponse.TargetNews exact : a.news()) {
            SlotReportResponse.TargetNews n = rounded(exact);
            now.put(n.target(), n);
            if (!n.equals(before.remove(n.target()))) {
                news.add(
                        new ResponseDelta.News(
                                names.number(n.target().value(), added),
                                n.reservedOpen(),
                                n.contended(),
                                n.expectedWait(),
                                n.grown(),
                                names.number(n.targetIncarnation(), added)));
            }
        }
        List<Integer> gone =
                before.keySet().stream().map(t -> names.number(t.value(), added)).toList();
        List<ResponseDelta.Grant> grants = new ArrayList<>();
        for (SlotReportResponse.Grant g : a.grants()) {
            grants.add(
                    new ResponseDelta.Grant(
                            names.number(g.target().value(), added),
                            names.number(g.workspace().value(), added),
                            g.priority(),
                            g.count()));
        }
        names.commit();
        base = Optional.of(new DeltaBase(r, a.stamp(), now, reportNames, names));
        long stamp = a.stamp() - from.map(b -> b.stamp()).orElse(0L);
        long epoch = a.epoch() - r.epoch();
        return new ResponseDelta(
                a.status(), epoch, stamp, since.isEmpty(), added, grants, news, gone);
    }

    private static SlotReportResponse.TargetNews rounded(SlotReportResponse.TargetNews n) {
        return new SlotReportResponse.TargetNews(
                n.target(),
                n.reservedOpen(),
                n.contended(),
                rounded(n.expectedWait()),
                n.grown(),
                n.targetIncarnation());
    }

    /**
     * Rounds a wait to two significant binary digits of milliseconds; the error is at most a
     * quarter. A wait above zero stays above zero, because zero means that a slot is free.
     */
    static Duration rounded(Duration wait) {
        if (wait.isZero()) {
            return wait;
        }
        long ms = Math.clamp(wait.toMillis(), 1, Integer.MAX_VALUE / 2);
        int shift = Math.max(0, Long.SIZE - 2 - Long.numberOfLeadingZeros(ms));
        long half = (1L << shift) >> 1;
        return Duration.ofMillis(((ms + half) >> shift) << shift);
    }

    /** Returns the instant at which the last report arrived, in nanoseconds of the ticker. */
    public long usedAt() {
        lock.lock();
        try {
            return usedAt;
        } finally {
            lock.unlock();
        }
    }
}
