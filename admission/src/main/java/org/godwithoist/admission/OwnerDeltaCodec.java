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
     * @param delta report of the holder
     * @param ledger processes the complete report; not called if the baseline is unknown
     * @throws IllegalArgumentException if the report contains an unknown number
     */
    public ResponseDelta exchange(
            ReportDelta delta, Function<SlotReport, SlotReportResponse> ledger) {
        // Two concurrent reports must not be applied to the same baseline, so the lock also covers
        // the call of the ledger.
        lock.lock();
        try {
            lastUsedAt = ticker.nanos();
            Optional<DeltaBaseline> previousBaseline =
                    delta.baselineSequence() == 0 ? Optional.empty() : baseline;
            boolean baselineKnown =
                    previousBaseline.filter(b -> isBaselineOf(b, delta)).isPresent();
            if (delta.baselineSequence() != 0 && !baselineKnown) {
                return rejection(SlotReportResponse.Status.UNKNOWN_BASELINE, 0);
            }
            NameTable names = previousBaseline.map(b -> b.reportNames()).orElseGet(NameTable::new);
            names.rollback();
            delta.names().forEach(names::add);
            SlotReport report = decodeReport(delta, previousBaseline, names);
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

    private static boolean isBaselineOf(DeltaBaseline candidate, ReportDelta delta) {
        return candidate.matches(delta.incarnation(), delta.epoch())
                && candidate.report().sequence() == delta.baselineSequence();
    }

    private static ResponseDelta rejection(SlotReportResponse.Status status, long epoch) {
        return new ResponseDelta(
                status, epoch, 0, false, List.of(), List.of(), List.of(), List.of());
    }

    private static SlotReport decodeReport(
            ReportDelta delta, Optional<DeltaBaseline> previousBaseline, NameTable names) {
        Map<TargetId, SlotReport.TargetUse> uses =
                new LinkedHashMap<>(previousBaseline.map(b -> b.uses()).orElse(Map.of()));
        delta.ended().forEach(n -> uses.remove(new TargetId(names.name(n))));
        for (ReportDelta.Use use : delta.uses()) {
            TargetId target = new TargetId(names.name(use.target()));
            uses.put(
                    target,
                    new SlotReport.TargetUse(
                            target,
                            use.inUse(),
                            use.unused(),
                            use.reservedInUse(),
                            use.minInUse(),
                            use.reservedHeld(),
                            use.warmUpLimit(),
                            names.name(use.targetIncarnation())));
        }
        List<SlotReport.Demand> demands = new ArrayList<>();
        for (ReportDelta.Demand demand : delta.demands()) {
            demands.add(
                    new SlotReport.Demand(
                            new TargetId(names.name(demand.target())),
                            new WorkspaceId(names.name(demand.workspace())),
                            demand.priority(),
                            demand.count(),
                            demand.oldestWait()));
        }
        List<SlotReport.LatencySample> latencySamples = new ArrayList<>();
        for (ReportDelta.LatencySample sample : delta.latencySamples()) {
            latencySamples.add(
                    new SlotReport.LatencySample(
                            new TargetId(names.name(sample.target())),
                            sample.timeToFirstToken(),
                            names.name(sample.targetIncarnation())));
        }
        return new SlotReport(
                delta.shard(),
                delta.epoch(),
                delta.incarnation(),
                delta.sequence(),
                delta.minIntervalStart()
                        + previousBaseline.map(b -> b.report().minIntervalEnd()).orElse(0L),
                delta.minIntervalEnd() + previousBaseline.map(b -> b.ownerTimestamp()).orElse(0L),
                delta.minTotalInUse()
                        + previousBaseline.map(b -> b.report().minTotalInUse()).orElse(0),
                List.copyOf(uses.values()),
                demands,
                latencySamples);
    }

    private ResponseDelta encodeResponse(
            SlotReport report,
            SlotReportResponse response,
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
        for (SlotReportResponse.TargetStatus status : response.targetStatuses()) {
            SlotReportResponse.TargetStatus rounded = rounded(status);
            currentStatuses.put(rounded.target(), rounded);
            if (!rounded.equals(previousStatuses.remove(rounded.target()))) {
                statuses.add(
                        new ResponseDelta.TargetStatus(
                                names.number(rounded.target().value(), added),
                                rounded.reservedOpen(),
                                rounded.contended(),
                                rounded.expectedWait(),
                                rounded.warmUpLimit(),
                                names.number(rounded.targetIncarnation(), added)));
            }
        }
        List<Integer> removed =
                previousStatuses.keySet().stream()
                        .map(t -> names.number(t.value(), added))
                        .toList();
        List<ResponseDelta.Grant> grants = new ArrayList<>();
        for (SlotReportResponse.Grant grant : response.grants()) {
            grants.add(
                    new ResponseDelta.Grant(
                            names.number(grant.target().value(), added),
                            names.number(grant.workspace().value(), added),
                            grant.priority(),
                            grant.count()));
        }
        names.commit();
        baseline =
                Optional.of(
                        new DeltaBaseline(
                                report,
                                response.ownerTimestamp(),
                                currentStatuses,
                                reportNames,
                                names));
        long ownerTimestamp =
                response.ownerTimestamp()
                        - previousBaseline.map(b -> b.ownerTimestamp()).orElse(0L);
        long epoch = response.epoch() - report.epoch();
        return new ResponseDelta(
                response.status(),
                epoch,
                ownerTimestamp,
                previous.isEmpty(),
                added,
                grants,
                statuses,
                removed);
    }

    private static SlotReportResponse.TargetStatus rounded(SlotReportResponse.TargetStatus status) {
        return new SlotReportResponse.TargetStatus(
                status.target(),
                status.reservedOpen(),
                status.contended(),
                rounded(status.expectedWait()),
                status.warmUpLimit(),
                status.targetIncarnation());
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
