package org.godwithoist.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;

/**
 * Slot counts of one shard, kept by its owner during one epoch. The counts are upper bounds: a slot
 * counts from the moment it is allocated until a report of its holder, or the load report of the
 * target, shows that it is free. Not thread-safe.
 */
public final class SlotLedger {
    /**
     * Time after a takeover from which a load report shows all requests that started before it.
     * Requests sent with the last grants of the earlier owner have arrived by then, and reachable
     * members have had several rounds to report.
     */
    private static final Duration TARGET_EVIDENCE = Duration.ofSeconds(1);

    /** Number of response times whose median is the normal response time of the shard. */
    private static final int SPEED_WINDOW = 64;

    /** Minimum number of samples for a median. */
    private static final int MIN_SPEED_SAMPLES = 8;

    /** Weight of the latest interval in the moving average of the time between freed slots. */
    private static final double FREED_WEIGHT = 0.2;

    /**
     * Period of the minimum counts. The use that is certain is the minimum reported during the last
     * one or two periods; a load report up to this old may be compared with it.
     */
    private static final Duration MINIMA_PERIOD = Duration.ofSeconds(5);

    /**
     * After a pause of the owner, reports can arrive before the view of the targets is refreshed. A
     * target may have become cold meanwhile, so nothing is granted on the basis of an older view.
     */
    private static final Duration MAX_VIEW_AGE = Duration.ofSeconds(1);

    private static final long NEVER = Long.MIN_VALUE;
    private static final long INITIAL_FREED_NANOS = Duration.ofSeconds(1).toNanos();

    private final ShardId shard;
    private final long epoch;
    private final AdmissionTiming timing;
    private final Ticker ticker;
    private final long startedAt;
    private final FairQueue queue;
    private final MeanWindow window = new MeanWindow();
    private final Map<HolderKey, Holder> holders = new HashMap<>();
    private final Map<HostId, Holder> current = new HashMap<>();
    private final Map<TargetId, Row> rows = new HashMap<>();
    private final long[] speeds = new long[SPEED_WINDOW];
    private final Map<HostId, List<SlotReportResponse.Grant>> waitingGrants = new HashMap<>();
    private final Set<HostId> reportRequests = new HashSet<>();

    private ShardView view;
    private int engines;
    private int speedCount;
    private OptionalLong median = OptionalLong.empty();
    private boolean ready;
    private long lastGrantAt;
    private long minimaAt;
    private long updatedAt;
    private long meanAt = NEVER;
    private double mean;

    private record HolderKey(HostId host, long incarnation) {}

    /** Slots of one holder at one target. */
    private static final class Count {
        int inUse;
        int unused;
        int inFlight;
        int setAside;
        int reservedInUse;
        int reservedHeld;
        int openSlots;
        long openedAt;
        int newMin;
        int oldMin;

        int taken() {
            return inUse + unused + inFlight + setAside;
        }

        boolean isEmpty() {
            return taken() == 0 && reservedInUse == 0 && reservedHeld == 0 && openSlots == 0;
        }

        int reserved() {
            return Math.max(openSlots, reservedInUse);
        }
    }

    /** Run of a daemon that has reported or may hold slots. */
    private static final class Holder {
        final HostId host;
        final long incarnation;
        final Map<TargetId, Count> counts = new HashMap<>();
        final MeanWindow.Track track = new MeanWindow.Track();
        long sequence;
        long reportedAt;
        long lastGrantAt;
        long setAsideAt;
        boolean replaced;

        Holder(HostId host, long incarnation) {
            this.host = host;
            this.incarnation = incarnation;
        }
    }

    private static final class Row {
        final TargetId target;
        final WarmUp warmUp = new WarmUp();
        final Map<Holder, Count> counts = new HashMap<>();
        int taken;
        int reserved;
        int unexplained;
        boolean verified;
        long freedAt;
        double freedEvery = INITIAL_FREED_NANOS;

        Row(TargetId target) {
            this.target = target;
        }
    }

    /**
     * Creates the ledger of a new epoch. It grants nothing until each member has reported or is
     * unresponsive, or the load reports of the targets show the use since the takeover.
     */
    public SlotLedger(
            ShardId shard, long epoch, AdmissionTiming timing, Ticker ticker, ShardView view) {
        this.shard = shard;
        this.epoch = epoch;
        this.timing = timing;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
        this.lastGrantAt = startedAt;
        this.minimaAt = startedAt;
        this.queue = new FairQueue(timing.ageAfter());
        update(view);
    }

    // ---- view of the fleet

    /** Applies a new view of members, targets and load reports. */
    public void update(ShardView newView) {
        view = newView;
        long now = ticker.nanos();
        updatedAt = now;
        Set<TargetId> listed = new HashSet<>();
        engines = 0;
        for (Target t : view.targets()) {
            listed.add(t.id());
            Row row = rows.computeIfAbsent(t.id(), Row::new);
            row.warmUp.service(t.service());
            view.loads().latest(t.id()).ifPresent(row.warmUp::load);
            if (row.warmUp.state().inService()) {
                engines++;
            }
        }
        rows.values().removeIf(row -> !listed.contains(row.target) && row.counts.isEmpty());
        for (Row row : rows.values()) {
            if (!listed.contains(row.target)) {
                row.warmUp.service(ServiceState.LEAVING);
            }
        }
        window.engines(engines, now);
        meanAt = NEVER;
        ready = ready || useIsKnown();
        for (Row row : rows.values()) {
            recount(row);
            explain(row, now);
        }
        rotateMinima(now);
    }

    private void recount(Row row) {
        row.reserved = 0;
        for (Count c : row.counts.values()) {
            row.reserved += c.reserved();
        }
    }

    private void rotateMinima(long now) {
        if (now - minimaAt < MINIMA_PERIOD.toNanos()) {
            return;
        }
        minimaAt = now;
        for (Row row : rows.values()) {
            for (Count c : row.counts.values()) {
                c.oldMin = c.newMin;
                c.newMin = Integer.MAX_VALUE;
            }
        }
    }

    private boolean useIsKnown() {
        return everybodyReported() || targetsReported();
    }

    private boolean everybodyReported() {
        for (HostId m : view.members()) {
            if (!current.containsKey(m) && !view.silent().test(m)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the load report of every target is from well after the takeover. A member
     * that does not respond has no valid grant by then and its requests are part of these reports,
     * so its report is not needed. Without this rule, a killed owner would block its shard for the
     * unresponsive timeout.
     */
    private boolean targetsReported() {
        if (view.targets().isEmpty()) {
            return false;
        }
        long evidenceFrom = startedAt + TARGET_EVIDENCE.toNanos();
        return view.targets().stream()
                .map(t -> view.loads().latest(t.id()))
                .allMatch(l -> l.isPresent() && l.get().takenAt() - evidenceFrom > 0);
    }

    /** Returns the members that have not reported in this epoch. */
    public Set<HostId> unreportedMembers() {
        Set<HostId> unreported = new TreeSet<>(view.members());
        unreported.removeAll(current.keySet());
        return unreported;
    }

    /** Returns whether the given run of a member, or a later one, has reported in this epoch. */
    public boolean hasReport(HostId host, long incarnation) {
        Holder h = current.get(host);
        return h != null && h.incarnation >= incarnation;
    }

    /** Returns whether the use before the takeover is known, so that slots may be granted. */
    public boolean ready() {
        return ready;
    }

    public long epoch() {
        return epoch;
    }

    /**
     * Returns the instant of the last grant in nanoseconds of the ticker; a planned release waits
     * until it has expired.
     */
    public long lastGrantAt() {
        return lastGrantAt;
    }

    // ---- reports

    /**
     * Applies a report and grants slots.
     *
     * @param from authenticated holder
     * @param report its report
     * @param mayGrant whether the lease of the owner is valid
     */
    public SlotReportResponse exchange(HostId from, SlotReport report, boolean mayGrant) {
        Holder h = current.get(from);
        boolean older = h != null && report.incarnation() < h.incarnation;
        boolean repeated =
                h != null
                        && report.incarnation() == h.incarnation
                        && report.sequence() <= h.sequence;
        if (report.epoch() != epoch || older || repeated) {
            return SlotReportResponse.refusal(shard, SlotReportResponse.Status.STALE, epoch);
        }
        long now = ticker.nanos();
        if (h == null || h.incarnation != report.incarnation()) {
            h = replace(from, report.incarnation(), h);
        }
        settle(h, report, now);
        queue.replace(from, report.demands(), now);
        report.speeds().forEach(this::answered);
        ready = ready || useIsKnown();
        boolean fresh = now - updatedAt < MAX_VIEW_AGE.toNanos();
        allocate(mayGrant && fresh, now);
        return answer(h, mayGrant && fresh, now);
    }

    private Holder replace(HostId host, long incarnation, Holder before) {
        if (before != null) {
            before.replaced = true;
            dropSetAside(before);
        }
        Holder h = new Holder(host, incarnation);
        holders.put(new HolderKey(host, incarnation), h);
        current.put(host, h);
        return h;
    }

    private void settle(Holder h, SlotReport report, long now) {
        boolean first = h.sequence == 0;
        h.sequence = report.sequence();
        h.reportedAt = now;
        Map<TargetId, SlotReport.TargetUse> uses = new HashMap<>();
        report.uses().forEach(u -> uses.put(u.target(), u));
        for (Map.Entry<TargetId, Count> e : h.counts.entrySet()) {
            if (!uses.containsKey(e.getKey())) {
                settle(row(e.getKey()), e.getValue(), null, report.certainTo(), now);
            }
        }
        for (SlotReport.TargetUse u : report.uses()) {
            Row row = row(u.target());
            Count c = count(h, row);
            if (first) {
                // The first report covers the time since before the takeover.
                c.newMin = u.minInUse();
                c.oldMin = u.minInUse();
            }
            settle(row, c, u, report.certainTo(), now);
            if (u.grown() > 0) {
                row.warmUp.inherit(u.targetIncarnation(), u.grown(), view.limits());
            }
        }
        dropEmpty(h);
        if (report.certainFrom() != 0 && report.certainTo() != 0) {
            window.add(h.track, report.certainFrom(), report.certainTo(), report.minUse(), now);
        }
    }

    private static Count count(Holder h, Row row) {
        return h.counts.computeIfAbsent(
                row.target,
                t -> {
                    Count c = new Count();
                    row.counts.put(h, c);
                    return c;
                });
    }

    private void dropEmpty(Holder h) {
        h.counts
                .entrySet()
                .removeIf(
                        e -> {
                            boolean empty = e.getValue().isEmpty();
                            if (empty) {
                                row(e.getKey()).counts.remove(h);
                            }
                            return empty;
                        });
    }

    private void settle(Row row, Count c, SlotReport.TargetUse u, long certainTo, long now) {
        int before = c.taken();
        c.inUse = u == null ? 0 : u.inUse();
        c.unused = u == null ? 0 : u.unused();
        c.inFlight = 0;
        c.reservedInUse = u == null ? 0 : u.reservedInUse();
        c.newMin = Math.min(c.newMin, u == null ? 0 : u.minInUse());
        c.reservedHeld = u == null ? 0 : u.reservedHeld();
        // Only a report sent after the TTL of enabled reserved slots shows their use.
        if (certainTo - c.openedAt >= timing.grantTtl().toNanos()) {
            c.openSlots = 0;
        }
        row.taken += c.taken() - before;
        if (c.taken() < before) {
            freed(row, before - c.taken(), now);
        }
        recount(row);
    }

    private static void freed(Row row, int count, long now) {
        if (row.freedAt != 0) {
            double every = (double) (now - row.freedAt) / count;
            row.freedEvery += FREED_WEIGHT * (every - row.freedEvery);
        }
        row.freedAt = now;
    }

    private void answered(SlotReport.Speed s) {
        Row row = row(s.target());
        if (!row.warmUp.incarnation().equals(s.targetIncarnation())) {
            return;
        }
        if (row.warmUp.state() == AdmissionState.WARM || speedCount < MIN_SPEED_SAMPLES) {
            speeds[speedCount % SPEED_WINDOW] = s.firstToken().toNanos();
            speedCount++;
            int n = Math.min(speedCount, SPEED_WINDOW);
            long[] sorted = Arrays.copyOf(speeds, n);
            Arrays.sort(sorted);
            median = n < MIN_SPEED_SAMPLES ? OptionalLong.empty() : OptionalLong.of(sorted[n / 2]);
        }
        row.warmUp.answer(s.firstToken().toNanos(), median, view.limits());
    }

    // ---- grants

    private void allocate(boolean mayGrant, long now) {
        if (!mayGrant || !ready) {
            return;
        }
        for (TargetId t : queue.targets()) {
            Row row = rows.get(t);
            int room = row == null ? 0 : available(row, now);
            while (room > 0) {
                Optional<FairQueue.Pick> pick = queue.take(t, now, view.shares());
                if (pick.isEmpty()) {
                    break;
                }
                room--;
                setAside(row, pick.get(), now);
            }
        }
    }

    private void setAside(Row row, FairQueue.Pick pick, long now) {
        Holder h = current.get(pick.holder());
        count(h, row).setAside++;
        row.taken++;
        h.setAsideAt = now;
        waitingGrants
                .computeIfAbsent(h.host, x -> new ArrayList<>())
                .add(
                        new SlotReportResponse.Grant(
                                row.target, pick.workspace(), pick.priority(), 1));
        reportRequests.add(h.host);
    }

    private void dropSetAside(Holder h) {
        waitingGrants.remove(h.host);
        reportRequests.remove(h.host);
        for (Map.Entry<TargetId, Count> e : h.counts.entrySet()) {
            row(e.getKey()).taken -= e.getValue().setAside;
            e.getValue().setAside = 0;
        }
    }

    private SlotReportResponse answer(Holder h, boolean mayGrant, long now) {
        reportRequests.remove(h.host);
        List<SlotReportResponse.Grant> grants = List.of();
        if (mayGrant) {
            List<SlotReportResponse.Grant> due = waitingGrants.remove(h.host);
            if (due != null) {
                grants = deliver(h, due, now);
            }
        }
        List<SlotReportResponse.TargetNews> news = new ArrayList<>();
        for (Row row : rows.values()) {
            news.add(news(h, row, mayGrant, now));
        }
        var status =
                mayGrant
                        ? SlotReportResponse.Status.ACCEPTED
                        : SlotReportResponse.Status.LEASE_EXPIRED;
        return new SlotReportResponse(shard, status, epoch, now, grants, news);
    }

    private List<SlotReportResponse.Grant> deliver(
            Holder h, List<SlotReportResponse.Grant> due, long now) {
        Map<SlotReportResponse.Grant, Integer> merged = new LinkedHashMap<>();
        for (SlotReportResponse.Grant g : due) {
            Count c = h.counts.get(g.target());
            c.setAside -= g.count();
            c.inFlight += g.count();
            merged.merge(g, g.count(), Integer::sum);
        }
        h.lastGrantAt = now;
        lastGrantAt = now;
        List<SlotReportResponse.Grant> grants = new ArrayList<>();
        merged.forEach(
                (g, n) ->
                        grants.add(
                                new SlotReportResponse.Grant(
                                        g.target(), g.workspace(), g.priority(), n)));
        return grants;
    }

    private SlotReportResponse.TargetNews news(Holder h, Row row, boolean mayGrant, long now) {
        int queued = queue.waiting(row.target);
        boolean room = queued == 0 && available(row, now) > 0;
        Duration wait =
                room ? Duration.ZERO : Duration.ofNanos((long) ((queued + 1) * row.freedEvery));
        return new SlotReportResponse.TargetNews(
                row.target,
                mayGrant && ready && openReserved(h, row, now),
                queued > 0,
                wait,
                row.warmUp.grown(),
                row.warmUp.incarnation());
    }

    /**
     * Returns and clears the holders that should report now because slots have been allocated to
     * them.
     */
    public Set<HostId> drainReportRequests() {
        Set<HostId> due = new TreeSet<>(reportRequests);
        reportRequests.clear();
        return due;
    }

    // ---- limits

    private Row row(TargetId target) {
        return rows.computeIfAbsent(target, Row::new);
    }

    /**
     * Returns the number of requests that a target may have in progress now, reserved slots
     * included.
     */
    public int limit(TargetId target) {
        Row row = rows.get(target);
        return row == null ? 0 : limit(row, ticker.nanos());
    }

    private int limit(Row row, long now) {
        AdmissionLimits limits = view.limits();
        int byState = row.warmUp.limit(limits);
        if (!view.skewBound()) {
            return byState;
        }
        if (meanAt != now) {
            mean = window.max(engines, now);
            meanAt = now;
        }
        return Math.min(byState, limits.skewBound(mean));
    }

    private int available(Row row, long now) {
        if (!row.verified) {
            return 0;
        }
        int reserved = Math.max(view.limits().reservedTotal(), row.reserved);
        return limit(row, now) - row.taken - row.unexplained - reserved;
    }

    /** Returns the admission state of a target; {@code LEAVING} if it is not listed. */
    public AdmissionState state(TargetId target) {
        Row row = rows.get(target);
        return row == null ? AdmissionState.LEAVING : row.warmUp.state();
    }

    // ---- reserved slots

    /**
     * Enables the reserved slots of a holder for one TTL if they fit under the limit together with
     * all other slots. They must stay unused if a limit has fallen below the slots in use, or if
     * members with different member lists result in more holders than computed.
     */
    private boolean openReserved(Holder h, Row row, long now) {
        Count c = h.counts.get(row.target);
        int held = c == null ? 0 : Math.min(c.reservedHeld, view.limits().reservedSlots());
        if (held == 0 || !row.verified) {
            return false;
        }
        int others = row.reserved - c.reserved();
        int reserved = others + Math.max(held, c.reservedInUse);
        int counted = Math.max(view.limits().reservedTotal(), reserved);
        if (row.taken + row.unexplained + counted > limit(row, now)) {
            return false;
        }
        c.openSlots = held;
        c.openedAt = now;
        h.lastGrantAt = now;
        row.reserved = reserved;
        lastGrantAt = now;
        return true;
    }

    private long life() {
        return timing.grantLife().toNanos();
    }

    // ---- unresponsive holders

    /**
     * Checks holders that have not reported recently and grants slots that became free. Must be
     * called several times per second, after {@link #update}.
     */
    public void tick(boolean mayGrant) {
        long now = ticker.nanos();
        for (Holder h : List.copyOf(holders.values())) {
            long age = now - h.reportedAt;
            boolean absent = now - h.setAsideAt > timing.exchangeTimeout().toNanos();
            if (absent || age > life()) {
                dropSetAside(h);
            }
            if (age > life() && !h.replaced) {
                queue.replace(h.host, List.of(), now);
            }
            if (age > life() && now - h.lastGrantAt > life()) {
                shrink(h, now);
            }
            boolean gone = h.replaced || !view.members().contains(h.host);
            if (h.counts.isEmpty() && gone) {
                holders.remove(new HolderKey(h.host, h.incarnation));
                current.remove(h.host, h);
            }
        }
        allocate(mayGrant, now);
    }

    /**
     * Lowers the counts of a holder that does not report to what the load reports of the targets
     * leave room for. Slots in use stay counted until the holder has been unresponsive for the
     * unresponsive timeout or another run of the daemon has reported.
     */
    private void shrink(Holder h, long now) {
        boolean silent = now - h.reportedAt >= timing.unresponsiveTimeout().toNanos() || h.replaced;
        for (Map.Entry<TargetId, Count> e : h.counts.entrySet()) {
            Count c = e.getValue();
            Row row = row(e.getKey());
            Optional<TargetLoadReport> load = view.loads().latest(e.getKey());
            boolean noEvidence = load.isEmpty() && now - h.reportedAt > forgetAfter();
            boolean evidence =
                    load.isPresent()
                            && load.get().takenAt() - Math.max(h.lastGrantAt, h.reportedAt)
                                    > life();
            if (!evidence && !noEvidence) {
                continue;
            }
            int before = c.taken();
            int room = load.map(l -> l.accepted() - certainUse(row, h, l, now)).orElse(0);
            int held = silent ? 0 : c.inUse + c.reservedInUse;
            int total = Math.min(c.taken() + c.reserved(), Math.max(held, Math.max(0, room)));
            c.reservedInUse = Math.min(c.reserved(), total);
            c.openSlots = 0;
            c.reservedHeld = silent ? 0 : c.reservedHeld;
            c.inUse = Math.min(c.taken(), total - c.reservedInUse);
            c.unused = 0;
            c.inFlight = 0;
            row.taken += c.taken() - before;
            recount(row);
        }
        dropEmpty(h);
    }

    /** Without load reports, nothing shows the end of the requests of an unresponsive holder. */
    private long forgetAfter() {
        return timing.outsiderWait().toNanos();
    }

    /** Returns the use by other holders that is certain at the instant of a load report. */
    private int certainUse(Row row, Holder except, TargetLoadReport load, long now) {
        if (now - load.takenAt() > MINIMA_PERIOD.toNanos()) {
            return 0;
        }
        int sum = 0;
        for (Map.Entry<Holder, Count> e : row.counts.entrySet()) {
            boolean reports = now - e.getKey().reportedAt < life();
            if (e.getKey() != except && reports) {
                Count c = e.getValue();
                sum += Math.min(c.oldMin, c.newMin);
            }
        }
        return sum;
    }

    /**
     * Compares the load report of the target with the reported use. After a takeover it may show
     * requests of holders that this owner does not know. Their number can only decrease, so the
     * smallest difference counts. Nothing is granted before the first load report from after the
     * takeover.
     */
    private void explain(Row row, long now) {
        Optional<TargetLoadReport> load = view.loads().latest(row.target);
        if (load.isEmpty()) {
            row.verified = true;
            return;
        }
        if (!ready || load.get().takenAt() - startedAt <= 0) {
            return;
        }
        int rest = Math.max(0, load.get().accepted() - certainUse(row, null, load.get(), now));
        row.unexplained = row.verified ? Math.min(row.unexplained, rest) : rest;
        row.verified = true;
    }
}
