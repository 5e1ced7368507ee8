package org.godwithoist.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Ticker;

/**
 * Delta codec of the holder for one shard: encodes slot reports as differences from the last
 * acknowledged report, and decodes the owner's differences into complete responses. Reports are
 * sent complete until the owner has accepted one. Thread-safe.
 */
public final class HolderDeltaCodec {
    /**
     * Maximum age of a baseline in use. Shorter than the time for which owners retain it, so that
     * owners rarely miss the baseline of a report.
     */
    private static final Duration MAX_BASELINE_AGE = Duration.ofSeconds(30);

    /** Bounds the memory for names; a complete report restarts the name table. */
    static final int MAX_NAMES = 256;

    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private Optional<DeltaBaseline> baseline = Optional.empty();
    private Optional<SlotReport> pendingReport = Optional.empty();
    private NameTable reportNames = new NameTable();
    private long lastUsedAt;

    /** Creates a codec without a baseline; the first report is complete. */
    public HolderDeltaCodec(Ticker ticker) {
        this.ticker = ticker;
        this.lastUsedAt = ticker.nanos();
    }

    /** Encodes a report. Responses to earlier reports are discarded from now on. */
    public ReportDelta encode(SlotReport report) {
        lock.lock();
        try {
            long now = ticker.nanos();
            boolean outdated = now - lastUsedAt > MAX_BASELINE_AGE.toNanos();
            baseline =
                    baseline.filter(
                            b ->
                                    !outdated
                                            && b.matches(report.incarnation(), report.epoch())
                                            && b.reportNames().size() <= MAX_NAMES);
            lastUsedAt = now;
            pendingReport = Optional.of(report);
            reportNames = baseline.map(b -> b.reportNames()).orElseGet(NameTable::new);
            reportNames.rollback();
            return encodeDelta(report);
        } finally {
            lock.unlock();
        }
    }

    private ReportDelta encodeDelta(SlotReport report) {
        Map<TargetId, SlotReport.TargetUse> previousUses =
                new LinkedHashMap<>(baseline.map(b -> b.uses()).orElse(Map.of()));
        List<String> added = new ArrayList<>();
        List<ReportDelta.Use> uses = new ArrayList<>();
        for (SlotReport.TargetUse use : report.uses()) {
            if (!use.equals(previousUses.remove(use.target()))) {
                uses.add(
                        new ReportDelta.Use(
                                number(use.target(), added),
                                use.inUse(),
                                use.unused(),
                                use.reservedInUse(),
                                use.minInUse(),
                                use.reservedHeld(),
                                use.warmUpLimit(),
                                reportNames.number(use.targetIncarnation(), added)));
            }
        }
        List<Integer> ended = previousUses.keySet().stream().map(t -> number(t, added)).toList();
        List<ReportDelta.Demand> demands =
                report.demands().stream().map(d -> demand(d, added)).toList();
        List<ReportDelta.LatencySample> latencySamples =
                report.latencySamples().stream().map(s -> latencySample(s, added)).toList();
        return new ReportDelta(
                report.shard(),
                report.epoch(),
                report.incarnation(),
                report.sequence(),
                baseline.map(b -> b.report().sequence()).orElse(0L),
                report.minIntervalStart()
                        - baseline.map(b -> b.report().minIntervalEnd()).orElse(0L),
                report.minIntervalEnd() - baseline.map(b -> b.ownerTimestamp()).orElse(0L),
                report.minTotalInUse() - baseline.map(b -> b.report().minTotalInUse()).orElse(0),
                added,
                uses,
                ended,
                demands,
                latencySamples);
    }

    private int number(TargetId target, List<String> added) {
        return reportNames.number(target.value(), added);
    }

    private ReportDelta.Demand demand(SlotReport.Demand d, List<String> added) {
        return new ReportDelta.Demand(
                number(d.target(), added),
                reportNames.number(d.workspace().value(), added),
                d.priority(),
                d.count(),
                d.oldestWait());
    }

    private ReportDelta.LatencySample latencySample(
            SlotReport.LatencySample s, List<String> added) {
        return new ReportDelta.LatencySample(
                number(s.target(), added),
                s.timeToFirstToken(),
                reportNames.number(s.targetIncarnation(), added));
    }

    /**
     * Decodes the response to a report. A response to any report but the last encoded one gets the
     * status {@code STALE}, because its baseline may have been replaced.
     */
    public SlotReportResponse decode(SlotReport report, ResponseDelta delta) {
        lock.lock();
        try {
            if (pendingReport.filter(report::equals).isEmpty()) {
                return SlotReportResponse.rejection(
                        report.shard(), SlotReportResponse.Status.STALE, report.epoch());
            }
            pendingReport = Optional.empty();
            long epoch = report.epoch() + delta.epoch();
            if (!delta.status().accepted()) {
                boolean unknown = delta.status() == SlotReportResponse.Status.UNKNOWN_BASELINE;
                baseline = baseline.filter(b -> !unknown);
                return SlotReportResponse.rejection(report.shard(), delta.status(), epoch);
            }
            return decodeAccepted(report, delta, epoch);
        } finally {
            lock.unlock();
        }
    }

    private SlotReportResponse decodeAccepted(SlotReport report, ResponseDelta delta, long epoch) {
        Optional<DeltaBaseline> from = baseline.filter(b -> !delta.full());
        NameTable names = from.map(b -> b.responseNames()).orElseGet(NameTable::new);
        names.rollback();
        delta.names().forEach(names::add);
        Map<TargetId, SlotReportResponse.TargetStatus> statuses =
                new HashMap<>(from.map(b -> b.targetStatuses()).orElse(Map.of()));
        delta.removed().forEach(n -> statuses.remove(new TargetId(names.name(n))));
        for (ResponseDelta.TargetStatus status : delta.targetStatuses()) {
            TargetId target = new TargetId(names.name(status.target()));
            statuses.put(
                    target,
                    new SlotReportResponse.TargetStatus(
                            target,
                            status.reservedOpen(),
                            status.contended(),
                            status.expectedWait(),
                            status.warmUpLimit(),
                            names.name(status.targetIncarnation())));
        }
        List<SlotReportResponse.Grant> grants =
                delta.grants().stream()
                        .map(
                                g ->
                                        new SlotReportResponse.Grant(
                                                new TargetId(names.name(g.target())),
                                                new WorkspaceId(names.name(g.workspace())),
                                                g.priority(),
                                                g.count()))
                        .toList();
        long ownerTimestamp =
                baseline.map(b -> b.ownerTimestamp()).orElse(0L) + delta.ownerTimestamp();
        names.commit();
        reportNames.commit();
        baseline =
                Optional.of(
                        new DeltaBaseline(report, ownerTimestamp, statuses, reportNames, names));
        List<SlotReportResponse.TargetStatus> all = List.copyOf(statuses.values());
        return new SlotReportResponse(
                report.shard(), delta.status(), epoch, ownerTimestamp, grants, all);
    }

    /** Returns the instant at which the last report was encoded, in nanoseconds of the ticker. */
    public long lastUsedAt() {
        lock.lock();
        try {
            return lastUsedAt;
        } finally {
            lock.unlock();
        }
    }
}
