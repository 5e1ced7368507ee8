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
    private Optional<DeltaBaseline> baseline = Optional.empty();
    private long lastUsedAt;

    /** Creates a codec without a baseline; only a complete report is accepted first. */
    public OwnerDeltaCodec(Ticker ticker) {
        this.ticker = ticker;
        this.lastUsedAt = ticker.nanos();
    }

    /**
     * Applies a report to its baseline and encodes the response.
     *
     * @param d report of the holder
     * @param ledger processes the complete report; not called if the baseline is unknown
     * @throws IllegalArgumentException if the report contains an unknown number
     */
    public ResponseDelta exchange(ReportDelta d, Function<SlotReport, SlotReportResponse> ledger) {
        // Two concurrent reports must not be applied to the same baseline, so the lock also covers
        // the call of the ledger.
        lock.lock();
        try {
            lastUsedAt = ticker.nanos();
            Optional<DeltaBaseline> previousBaseline =
                    d.baselineSequence() == 0 ? Optional.empty() : baseline;
            boolean baselineKnown = previousBaseline.filter(b -> isBaselineOf(b, d)).isPresent();
            if (d.baselineSequence() != 0 && !baselineKnown) {
                return rejection(SlotReportResponse.Status.UNKNOWN_BASELINE, 0);
            }
            NameTable names = previousBaseline.map(b -> b.reportNames()).orElseGet(NameTable::new);
            names.rollback();
            d.names().forEach(names::add);
            SlotReport report = decodeReport(d, previousBaseline, names);
            SlotReportResponse response = ledger.apply(report);
            if (!response.status().accepted()) {
                return rejection(response.status(), response.epoch() - report.epoch());
            }
            names.commit();
            return encodeResponse(report, response, previousBaseline, names);
        } finally {
            lock.unlock();
        }
    }

    private static boolean isBaselineOf(DeltaBaseline b, ReportDelta d) {
        return b.matches(d.incarnation(), d.epoch())
                && b.report().sequence() == d.baselineSequence();
    }

    private static ResponseDelta rejection(SlotReportResponse.Status status, long epoch) {
        return new ResponseDelta(
                status, epoch, 0, false, List.of(), List.of(), List.of(), List.of());
    }

    private static SlotReport decodeReport(
            ReportDelta d, Optional<DeltaBaseline> previousBaseline, NameTable names) {
        Map<TargetId, SlotReport.TargetUse> uses =
                new LinkedHashMap<>(previousBaseline.map(b -> b.uses()).orElse(Map.of()));
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
                            u.warmUpLimit(),
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
                            q.oldestWait()));
        }
        List<SlotReport.LatencySample> latencySamples = new ArrayList<>();
        for (ReportDelta.LatencySample s : d.latencySamples()) {
            latencySamples.add(
                    new SlotReport.LatencySample(
                            new TargetId(names.name(s.target())),
                            s.timeToFirstToken(),
                            names.name(s.targetIncarnation())));
        }
        return new SlotReport(
                d.shard(),
                d.epoch(),
                d.incarnation(),
                d.sequence(),
                d.minIntervalStart()
                        + previousBaseline.map(b -> b.report().minIntervalEnd()).orElse(0L),
                d.minIntervalEnd() + previousBaseline.map(b -> b.ownerTimestamp()).orElse(0L),
                d.minTotalInUse() + previousBaseline.map(b -> b.report().minTotalInUse()).orElse(0),
                List.copyOf(uses.values()),
                demands,
                latencySamples);
    }

    private ResponseDelta encodeResponse(
            SlotReport r,
            SlotReportResponse a,
            Optional<DeltaBaseline> previousBaseline,
            NameTable reportNames) {
        // A complete response restarts the name table, which bounds the memory for names.
        Optional<DeltaBaseline> previous =
                previousBaseline.filter(
                        b -> b.responseNames().size() <= HolderDeltaCodec.MAX_NAMES);
        NameTable names = previous.map(b -> b.responseNames()).orElseGet(NameTable::new);
        Map<TargetId, SlotReportResponse.TargetStatus> previousStatuses =
                new LinkedHashMap<>(previous.map(b -> b.targetStatuses()).orElse(Map.of()));
        Map<TargetId, SlotReportResponse.TargetStatus> currentStatuses = new LinkedHashMap<>();
        List<String> added = new ArrayList<>();
        List<ResponseDelta.TargetStatus> statuses = new ArrayList<>();
        for (SlotReportResponse.TargetStatus status : a.targetStatuses()) {
            SlotReportResponse.TargetStatus n = rounded(status);
            currentStatuses.put(n.target(), n);
            if (!n.equals(previousStatuses.remove(n.target()))) {
                statuses.add(
                        new ResponseDelta.TargetStatus(
                                names.number(n.target().value(), added),
                                n.reservedOpen(),
                                n.contended(),
                                n.expectedWait(),
                                n.warmUpLimit(),
                                names.number(n.targetIncarnation(), added)));
            }
        }
        List<Integer> removed =
                previousStatuses.keySet().stream()
                        .map(t -> names.number(t.value(), added))
                        .toList();
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
        baseline =
                Optional.of(
                        new DeltaBaseline(
                                r, a.ownerTimestamp(), currentStatuses, reportNames, names));
        long ownerTimestamp =
                a.ownerTimestamp() - previousBaseline.map(b -> b.ownerTimestamp()).orElse(0L);
        long epoch = a.epoch() - r.epoch();
        return new ResponseDelta(
                a.status(),
                epoch,
                ownerTimestamp,
                previous.isEmpty(),
                added,
                grants,
                statuses,
                removed);
    }

    private static SlotReportResponse.TargetStatus rounded(SlotReportResponse.TargetStatus n) {
        return new SlotReportResponse.TargetStatus(
                n.target(),
                n.reservedOpen(),
                n.contended(),
                rounded(n.expectedWait()),
                n.warmUpLimit(),
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
    public long lastUsedAt() {
        lock.lock();
        try {
            return lastUsedAt;
        } finally {
            lock.unlock();
        }
    }
}
