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
 * Delta codec of the holder for one shard: encodes complete slot reports as differences from the
 * last answered report and decodes the owner's differences into complete responses. Reports are
 * sent complete until one is answered. Thread-safe.
 */
public final class HolderDeltaCodec {
    /**
     * Maximum age of a baseline in use. Shorter than the time for which owners retain it, so that
     * owners rarely miss the baseline of a report.
     */
    private static final Duration MAX_BASE_AGE = Duration.ofSeconds(30);

    /** Bounds the memory for names; a complete report restarts the name table. */
    static final int MAX_NAMES = 256;

    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private Optional<DeltaBase> base = Optional.empty();
    private Optional<SlotReport> pending = Optional.empty();
    private NameTable reportNames = new NameTable();
    private long usedAt;

    /** Creates a codec without a baseline; the first report is complete. */
    public HolderDeltaCodec(Ticker ticker) {
        this.ticker = ticker;
        this.usedAt = ticker.nanos();
    }

    /** Encodes a report. Responses to earlier reports are discarded from now on. */
    public ReportDelta encode(SlotReport r) {
        lock.lock();
        try {
            long now = ticker.nanos();
            boolean old = now - usedAt > MAX_BASE_AGE.toNanos();
            base =
                    base.filter(
                            b ->
                                    !old
                                            && b.precedes(r.incarnation(), r.epoch())
                                            && b.reportNames().size() <= MAX_NAMES);
            usedAt = now;
            pending = Optional.of(r);
            reportNames = base.map(b -> b.reportNames()).orElseGet(NameTable::new);
            reportNames.rollback();
            return difference(r);
        } finally {
            lock.unlock();
        }
    }

    private ReportDelta difference(SlotReport r) {
        Map<TargetId, SlotReport.TargetUse> before =
                new LinkedHashMap<>(base.map(b -> b.uses()).orElse(Map.of()));
        List<String> added = new ArrayList<>();
        List<ReportDelta.Use> uses = new ArrayList<>();
        for (SlotReport.TargetUse u : r.uses()) {
            if (!u.equals(before.remove(u.target()))) {
                uses.add(
                        new ReportDelta.Use(
                                number(u.target(), added),
                                u.inUse(),
                                u.unused(),
                                u.reservedInUse(),
                                u.minInUse(),
                                u.reservedHeld(),
                                u.grown(),
                                reportNames.number(u.targetIncarnation(), added)));
            }
        }
        List<Integer> ended = before.keySet().stream().map(t -> number(t, added)).toList();
        List<ReportDelta.Demand> demands = r.demands().stream().map(d -> demand(d, added)).toList();
        List<ReportDelta.Speed> speeds = r.speeds().stream().map(s -> speed(s, added)).toList();
        return new ReportDelta(
                r.shard(),
                r.epoch(),
                r.incarnation(),
                r.sequence(),
                base.map(b -> b.report().sequence()).orElse(0L),
                r.certainFrom() - base.map(b -> b.report().certainTo()).orElse(0L),
                r.certainTo() - base.map(b -> b.stamp()).orElse(0L),
                r.minUse() - base.map(b -> b.report().minUse()).orElse(0),
                added,
                uses,
                ended,
                demands,
                speeds);
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
                d.waited());
    }

    private ReportDelta.Speed speed(SlotReport.Speed s, List<String> added) {
        return new ReportDelta.Speed(
                number(s.target(), added),
                s.firstToken(),
                reportNames.number(s.targetIncarnation(), added));
    }

    /**
     * Decodes the response to a report. A response to any report but the last encoded one gets the
     * status {@code STALE}, because its baseline may have been replaced.
     */
    public SlotReportResponse decode(SlotReport r, ResponseDelta a) {
        lock.lock();
        try {
            if (pending.filter(r::equals).isEmpty()) {
                return SlotReportResponse.refusal(
                        r.shard(), SlotReportResponse.Status.STALE, r.epoch());
            }
            pending = Optional.empty();
            long epoch = r.epoch() + a.epoch();
            if (!a.status().accepted()) {
                boolean unknown = a.status() == SlotReportResponse.Status.UNKNOWN_BASE;
                base = base.filter(b -> !unknown);
                return SlotReportResponse.refusal(r.shard(), a.status(), epoch);
            }
            return taken(r, a, epoch);
        } finally {
            lock.unlock();
        }
    }

    private SlotReportResponse taken(SlotReport r, ResponseDelta a, long epoch) {
        Optional<DeltaBase> from = base.filter(b -> !a.full());
        NameTable names = from.map(b -> b.answerNames()).orElseGet(NameTable::new);
        names.rollback();
        a.names().forEach(names::add);
        Map<TargetId, SlotReportResponse.TargetNews> news =
                new HashMap<>(from.map(b -> b.news()).orElse(Map.of()));
        a.gone().forEach(n -> news.remove(new TargetId(names.name(n))));
        for (ResponseDelta.News n : a.news()) {
            TargetId target = new TargetId(names.name(n.target()));
            news.put(
                    target,
                    new SlotReportResponse.TargetNews(
                            target,
                            n.reservedOpen(),
                            n.contended(),
                            n.expectedWait(),
                            n.grown(),
                            names.name(n.targetIncarnation())));
        }
        List<SlotReportResponse.Grant> grants =
                a.grants().stream()
                        .map(
                                g ->
                                        new SlotReportResponse.Grant(
                                                new TargetId(names.name(g.target())),
                                                new WorkspaceId(names.name(g.workspace())),
                                                g.priority(),
                                                g.count()))
                        .toList();
        long stamp = base.map(b -> b.stamp()).orElse(0L) + a.stamp();
        names.commit();
        reportNames.commit();
        base = Optional.of(new DeltaBase(r, stamp, news, reportNames, names));
        List<SlotReportResponse.TargetNews> all = List.copyOf(news.values());
        return new SlotReportResponse(r.shard(), a.status(), epoch, stamp, grants, all);
    }

    /** Returns the instant at which the last report was encoded, in nanoseconds of the ticker. */
    public long usedAt() {
        lock.lock();
        try {
            return usedAt;
        } finally {
            lock.unlock();
        }
    }
}
