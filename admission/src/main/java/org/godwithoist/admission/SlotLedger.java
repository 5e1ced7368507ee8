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
    private static final Duration LOAD_REPORT_EVIDENCE_DELAY = Duration.ofSeconds(1);

    /** Number of response times whose median is the normal response time of the shard. */
    private static final int LATENCY_WINDOW = 64;

    /** Minimum number of samples for a median. */
    private static final int MIN_LATENCY_SAMPLES = 8;

    /** Weight of the latest interval in the moving average of the time between freed slots. */
    private static final double FREED_INTERVAL_WEIGHT = 0.2;

    /**
     * Period of the minimum counts. The use that is certain is the minimum reported during the last
     * one or two periods; a load report up to this old may be compared with it.
     */
    private static final Duration MINIMUM_PERIOD = Duration.ofSeconds(5);

    /**
     * After a pause of the owner, reports can arrive before the view of the targets is refreshed. A
     * target may have become cold meanwhile, so nothing is granted on the basis of an older view.
     */
    private static final Duration MAX_VIEW_AGE = Duration.ofSeconds(1);

    private static final long NEVER = Long.MIN_VALUE;
    private static final long INITIAL_FREED_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final ShardId shard;
    private final long epoch;
    private final AdmissionTiming timing;
    private final Ticker ticker;
    private final long startedAt;
    private final FairQueue queue;
    private final MeanLoadWindow meanLoadWindow = new MeanLoadWindow();
    private final Map<HolderKey, Holder> holders = new HashMap<>();
    private final Map<HostId, Holder> currentHolders = new HashMap<>();
    private final Map<TargetId, TargetState> targetStates = new HashMap<>();
    private final long[] latencies = new long[LATENCY_WINDOW];
    private final Map<HostId, List<SlotReportResponse.Grant>> pendingGrants = new HashMap<>();
    private final Set<HostId> reportRequests = new HashSet<>();

    private ShardView view;
    private int enginesInService;
    private int latencyCount;
    private OptionalLong medianLatency = OptionalLong.empty();
    private boolean ready;
    private long lastGrantAt;
    private long minimumPeriodStartedAt;
    private long viewUpdatedAt;
    private long meanComputedAt = NEVER;
    private double meanLoad;

    private record HolderKey(HostId host, long incarnation) {}

    /**
     * Slots of one holder at one target. Pending slots are allocated but not sent yet; slots in
     * flight have been sent but are not part of a report yet.
     */
    private static final class SlotCounts {
        int inUse;
        int unused;
        int inFlight;
        int pending;
        int reservedInUse;
        int reservedHeld;
        int reservedOpen;
        long reservedOpenedAt;
        int currentPeriodMin;
        int previousPeriodMin;

        int allocated() {
            return inUse + unused + inFlight + pending;
        }

        boolean isEmpty() {
            return allocated() == 0 && reservedInUse == 0 && reservedHeld == 0 && reservedOpen == 0;
        }

        int reserved() {
            return Math.max(reservedOpen, reservedInUse);
        }
    }

    /** Run of a daemon that has reported or may hold slots. */
    private static final class Holder {
        final HostId host;
        final long incarnation;
        final Map<TargetId, SlotCounts> counts = new HashMap<>();
        final MeanLoadWindow.HolderInterval lastInterval = new MeanLoadWindow.HolderInterval();
        long sequence;
        long reportedAt;
        long lastGrantAt;
        long lastPendingAt;
        boolean replaced;

        Holder(HostId host, long incarnation) {
            this.host = host;
            this.incarnation = incarnation;
        }
    }

    private static final class TargetState {
        final TargetId target;
        final WarmUp warmUp = new WarmUp();
        final Map<Holder, SlotCounts> counts = new HashMap<>();
        int allocated;
        int reserved;
        int unattributed;
        boolean loadVerified;
        long lastFreedAt;
        double freedIntervalNanos = INITIAL_FREED_INTERVAL_NANOS;

        TargetState(TargetId target) {
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
        this.minimumPeriodStartedAt = startedAt;
        this.queue = new FairQueue(timing.backgroundAgingDelay());
        update(view);
    }

    // ---- view of the fleet

    /** Applies a new view of members, targets and load reports. */
    public void update(ShardView newView) {
        view = newView;
        long now = ticker.nanos();
        viewUpdatedAt = now;
        Set<TargetId> listed = new HashSet<>();
        enginesInService = 0;
        for (Target t : view.targets()) {
            listed.add(t.id());
            TargetState state = targetStates.computeIfAbsent(t.id(), TargetState::new);
            state.warmUp.applyServiceState(t.serviceState());
            view.loads().latest(t.id()).ifPresent(state.warmUp::applyLoadReport);
            if (state.warmUp.state().inService()) {
                enginesInService++;
            }
        }
        targetStates
                .values()
                .removeIf(state -> !listed.contains(state.target) && state.counts.isEmpty());
        for (TargetState state : targetStates.values()) {
            if (!listed.contains(state.target)) {
                state.warmUp.applyServiceState(ServiceState.DRAINING);
            }
        }
        meanLoadWindow.recordEngines(enginesInService, now);
        meanComputedAt = NEVER;
        ready = ready || priorUseKnown();
        for (TargetState state : targetStates.values()) {
            recountReserved(state);
            updateUnattributed(state, now);
        }
        rotateMinimumPeriods(now);
    }

    private void recountReserved(TargetState state) {
        state.reserved = 0;
        for (SlotCounts c : state.counts.values()) {
            state.reserved += c.reserved();
        }
    }

    private void rotateMinimumPeriods(long now) {
        if (now - minimumPeriodStartedAt < MINIMUM_PERIOD.toNanos()) {
            return;
        }
        minimumPeriodStartedAt = now;
        for (TargetState state : targetStates.values()) {
            for (SlotCounts c : state.counts.values()) {
                c.previousPeriodMin = c.currentPeriodMin;
                c.currentPeriodMin = Integer.MAX_VALUE;
            }
        }
    }

    private boolean priorUseKnown() {
        return allMembersReported() || allTargetsReported();
    }

    private boolean allMembersReported() {
        for (HostId member : view.members()) {
            if (!currentHolders.containsKey(member) && !view.unresponsive().test(member)) {
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
    private boolean allTargetsReported() {
        if (view.targets().isEmpty()) {
            return false;
        }
        long evidenceFrom = startedAt + LOAD_REPORT_EVIDENCE_DELAY.toNanos();
        return view.targets().stream()
                .map(t -> view.loads().latest(t.id()))
                .allMatch(l -> l.isPresent() && l.get().sampledAt() - evidenceFrom > 0);
    }

    /** Returns the members that have not reported in this epoch. */
    public Set<HostId> unreportedMembers() {
        Set<HostId> unreported = new TreeSet<>(view.members());
        unreported.removeAll(currentHolders.keySet());
        return unreported;
    }

    /** Returns whether the given run of a member, or a later one, has reported in this epoch. */
    public boolean hasReport(HostId host, long incarnation) {
        Holder h = currentHolders.get(host);
        return h != null && h.incarnation >= incarnation;
    }

    /** Returns whether the use before the takeover is known, so that slots may be granted. */
    public boolean ready() {
        return ready;
    }

    /** Returns the lease epoch to which the counts belong. */
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
        Holder h = currentHolders.get(from);
        boolean older = h != null && report.incarnation() < h.incarnation;
        boolean duplicate =
                h != null
                        && report.incarnation() == h.incarnation
                        && report.sequence() <= h.sequence;
        if (report.epoch() != epoch || older || duplicate) {
            return SlotReportResponse.rejection(shard, SlotReportResponse.Status.STALE, epoch);
        }
        long now = ticker.nanos();
        if (h == null || h.incarnation != report.incarnation()) {
            h = registerRun(from, report.incarnation(), h);
        }
        applyReport(h, report, now);
        queue.replace(from, report.demands(), now);
        report.latencySamples().forEach(this::recordLatency);
        ready = ready || priorUseKnown();
        boolean fresh = now - viewUpdatedAt < MAX_VIEW_AGE.toNanos();
        allocate(mayGrant && fresh, now);
        return buildResponse(h, mayGrant && fresh, now);
    }

    private Holder registerRun(HostId host, long incarnation, Holder before) {
        if (before != null) {
            before.replaced = true;
            cancelPendingGrants(before);
        }
        Holder h = new Holder(host, incarnation);
        holders.put(new HolderKey(host, incarnation), h);
        currentHolders.put(host, h);
        return h;
    }

    private void applyReport(Holder h, SlotReport report, long now) {
        boolean first = h.sequence == 0;
        h.sequence = report.sequence();
        h.reportedAt = now;
        Map<TargetId, SlotReport.TargetUse> uses = new HashMap<>();
        report.uses().forEach(u -> uses.put(u.target(), u));
        for (Map.Entry<TargetId, SlotCounts> e : h.counts.entrySet()) {
            if (!uses.containsKey(e.getKey())) {
                applyUse(targetState(e.getKey()), e.getValue(), null, report.minIntervalEnd(), now);
            }
        }
        for (SlotReport.TargetUse u : report.uses()) {
            TargetState state = targetState(u.target());
            SlotCounts c = countsOf(h, state);
            if (first) {
                // The first report covers the time since before the takeover.
                c.currentPeriodMin = u.minInUse();
                c.previousPeriodMin = u.minInUse();
            }
            applyUse(state, c, u, report.minIntervalEnd(), now);
            if (u.warmUpLimit() > 0) {
                state.warmUp.inherit(u.targetIncarnation(), u.warmUpLimit(), view.limits());
            }
        }
        removeEmptyCounts(h);
        if (report.minIntervalStart() != 0 && report.minIntervalEnd() != 0) {
            meanLoadWindow.add(
                    h.lastInterval,
                    report.minIntervalStart(),
                    report.minIntervalEnd(),
                    report.minTotalInUse(),
                    now);
        }
    }

    private static SlotCounts countsOf(Holder h, TargetState state) {
        return h.counts.computeIfAbsent(
                state.target,
                t -> {
                    SlotCounts c = new SlotCounts();
                    state.counts.put(h, c);
                    return c;
                });
    }

    private void removeEmptyCounts(Holder h) {
        h.counts
                .entrySet()
                .removeIf(
                        e -> {
                            boolean empty = e.getValue().isEmpty();
                            if (empty) {
                                targetState(e.getKey()).counts.remove(h);
                            }
                            return empty;
                        });
    }

    private void applyUse(
            TargetState state,
            SlotCounts c,
            SlotReport.TargetUse u,
            long minIntervalEnd,
            long now) {
        int before = c.allocated();
        c.inUse = u == null ? 0 : u.inUse();
        c.unused = u == null ? 0 : u.unused();
        c.inFlight = 0;
        c.reservedInUse = u == null ? 0 : u.reservedInUse();
        c.currentPeriodMin = Math.min(c.currentPeriodMin, u == null ? 0 : u.minInUse());
        c.reservedHeld = u == null ? 0 : u.reservedHeld();
        // Only a report sent after the TTL of opened reserved slots shows their use.
        if (minIntervalEnd - c.reservedOpenedAt >= timing.grantTtl().toNanos()) {
            c.reservedOpen = 0;
        }
        state.allocated += c.allocated() - before;
        if (c.allocated() < before) {
            recordFreed(state, before - c.allocated(), now);
        }
        recountReserved(state);
    }

    private static void recordFreed(TargetState state, int count, long now) {
        if (state.lastFreedAt != 0) {
            double interval = (double) (now - state.lastFreedAt) / count;
            state.freedIntervalNanos +=
                    FREED_INTERVAL_WEIGHT * (interval - state.freedIntervalNanos);
        }
        state.lastFreedAt = now;
    }

    private void recordLatency(SlotReport.LatencySample s) {
        TargetState state = targetState(s.target());
        if (!state.warmUp.incarnation().equals(s.targetIncarnation())) {
            return;
        }
        if (state.warmUp.state() == AdmissionState.WARM || latencyCount < MIN_LATENCY_SAMPLES) {
            latencies[latencyCount % LATENCY_WINDOW] = s.timeToFirstToken().toNanos();
            latencyCount++;
            int n = Math.min(latencyCount, LATENCY_WINDOW);
            long[] sorted = Arrays.copyOf(latencies, n);
            Arrays.sort(sorted);
            medianLatency =
                    n < MIN_LATENCY_SAMPLES ? OptionalLong.empty() : OptionalLong.of(sorted[n / 2]);
        }
        state.warmUp.recordResponse(s.timeToFirstToken().toNanos(), medianLatency, view.limits());
    }

    // ---- grants

    private void allocate(boolean mayGrant, long now) {
        if (!mayGrant || !ready) {
            return;
        }
        for (TargetId t : queue.targets()) {
            TargetState state = targetStates.get(t);
            int room = state == null ? 0 : available(state, now);
            while (room > 0) {
                Optional<FairQueue.Selection> selection =
                        queue.take(t, now, view.workspaceShares());
                if (selection.isEmpty()) {
                    break;
                }
                room--;
                addPendingGrant(state, selection.get(), now);
            }
        }
    }

    private void addPendingGrant(TargetState state, FairQueue.Selection selection, long now) {
        Holder h = currentHolders.get(selection.holder());
        countsOf(h, state).pending++;
        state.allocated++;
        h.lastPendingAt = now;
        pendingGrants
                .computeIfAbsent(h.host, x -> new ArrayList<>())
                .add(
                        new SlotReportResponse.Grant(
                                state.target, selection.workspace(), selection.priority(), 1));
        reportRequests.add(h.host);
    }

    private void cancelPendingGrants(Holder h) {
        pendingGrants.remove(h.host);
        reportRequests.remove(h.host);
        for (Map.Entry<TargetId, SlotCounts> e : h.counts.entrySet()) {
            targetState(e.getKey()).allocated -= e.getValue().pending;
            e.getValue().pending = 0;
        }
    }

    private SlotReportResponse buildResponse(Holder h, boolean mayGrant, long now) {
        reportRequests.remove(h.host);
        List<SlotReportResponse.Grant> grants = List.of();
        if (mayGrant) {
            List<SlotReportResponse.Grant> pending = pendingGrants.remove(h.host);
            if (pending != null) {
                grants = deliverGrants(h, pending, now);
            }
        }
        List<SlotReportResponse.TargetStatus> statuses = new ArrayList<>();
        for (TargetState state : targetStates.values()) {
            statuses.add(targetStatus(h, state, mayGrant, now));
        }
        var status =
                mayGrant
                        ? SlotReportResponse.Status.ACCEPTED
                        : SlotReportResponse.Status.LEASE_EXPIRED;
        return new SlotReportResponse(shard, status, epoch, now, grants, statuses);
    }

    private List<SlotReportResponse.Grant> deliverGrants(
            Holder h, List<SlotReportResponse.Grant> pending, long now) {
        Map<SlotReportResponse.Grant, Integer> merged = new LinkedHashMap<>();
        for (SlotReportResponse.Grant g : pending) {
            SlotCounts c = h.counts.get(g.target());
            c.pending -= g.count();
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

    private SlotReportResponse.TargetStatus targetStatus(
            Holder h, TargetState state, boolean mayGrant, long now) {
        int queued = queue.waiting(state.target);
        boolean room = queued == 0 && available(state, now) > 0;
        Duration wait =
                room
                        ? Duration.ZERO
                        : Duration.ofNanos((long) ((queued + 1) * state.freedIntervalNanos));
        return new SlotReportResponse.TargetStatus(
                state.target,
                mayGrant && ready && openReserved(h, state, now),
                queued > 0,
                wait,
                state.warmUp.warmUpLimit(),
                state.warmUp.incarnation());
    }

    /**
     * Returns and clears the holders that should report now because slots have been allocated to
     * them.
     */
    public Set<HostId> drainReportRequests() {
        Set<HostId> requested = new TreeSet<>(reportRequests);
        reportRequests.clear();
        return requested;
    }

    // ---- limits

    private TargetState targetState(TargetId target) {
        return targetStates.computeIfAbsent(target, TargetState::new);
    }

    /**
     * Returns the number of requests that a target may have in progress now, reserved slots
     * included.
     */
    public int limit(TargetId target) {
        TargetState state = targetStates.get(target);
        return state == null ? 0 : limit(state, ticker.nanos());
    }

    private int limit(TargetState state, long now) {
        AdmissionLimits limits = view.limits();
        int byState = state.warmUp.limit(limits);
        if (!view.applySkewBound()) {
            return byState;
        }
        if (meanComputedAt != now) {
            meanLoad = meanLoadWindow.maxMean(enginesInService, now);
            meanComputedAt = now;
        }
        return Math.min(byState, limits.skewBound(meanLoad));
    }

    private int available(TargetState state, long now) {
        if (!state.loadVerified) {
            return 0;
        }
        int reserved = Math.max(view.limits().reservedTotal(), state.reserved);
        return limit(state, now) - state.allocated - state.unattributed - reserved;
    }

    /** Returns the admission state of a target; {@code DRAINING} if it is not listed. */
    public AdmissionState state(TargetId target) {
        TargetState state = targetStates.get(target);
        return state == null ? AdmissionState.DRAINING : state.warmUp.state();
    }

    // ---- reserved slots

    /**
     * Opens the reserved slots of a holder for one TTL if they fit under the limit together with
     * all other slots. They must stay closed if a limit has fallen below the slots in use, or if
     * members with different member lists result in more holders than computed.
     */
    private boolean openReserved(Holder h, TargetState state, long now) {
        SlotCounts c = h.counts.get(state.target);
        int held = c == null ? 0 : Math.min(c.reservedHeld, view.limits().reservedSlots());
        if (held == 0 || !state.loadVerified) {
            return false;
        }
        int others = state.reserved - c.reserved();
        int reserved = others + Math.max(held, c.reservedInUse);
        int counted = Math.max(view.limits().reservedTotal(), reserved);
        if (state.allocated + state.unattributed + counted > limit(state, now)) {
            return false;
        }
        c.reservedOpen = held;
        c.reservedOpenedAt = now;
        h.lastGrantAt = now;
        state.reserved = reserved;
        lastGrantAt = now;
        return true;
    }

    private long ownerGrantTtlNanos() {
        return timing.ownerGrantTtl().toNanos();
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
            boolean pendingExpired = now - h.lastPendingAt > timing.exchangeTimeout().toNanos();
            if (pendingExpired || age > ownerGrantTtlNanos()) {
                cancelPendingGrants(h);
            }
            if (age > ownerGrantTtlNanos() && !h.replaced) {
                queue.replace(h.host, List.of(), now);
            }
            if (age > ownerGrantTtlNanos() && now - h.lastGrantAt > ownerGrantTtlNanos()) {
                reduceCounts(h, now);
            }
            boolean obsolete = h.replaced || !view.members().contains(h.host);
            if (h.counts.isEmpty() && obsolete) {
                holders.remove(new HolderKey(h.host, h.incarnation));
                currentHolders.remove(h.host, h);
            }
        }
        allocate(mayGrant, now);
    }

    /**
     * Lowers the counts of a holder that does not report to what the load reports of the targets
     * leave room for. Slots in use stay counted until the holder has been unresponsive for the
     * unresponsive timeout or another run of the daemon has reported.
     */
    private void reduceCounts(Holder h, long now) {
        boolean unresponsive =
                now - h.reportedAt >= timing.unresponsiveTimeout().toNanos() || h.replaced;
        for (Map.Entry<TargetId, SlotCounts> e : h.counts.entrySet()) {
            SlotCounts c = e.getValue();
            TargetState state = targetState(e.getKey());
            Optional<TargetLoadReport> load = view.loads().latest(e.getKey());
            boolean noEvidence = load.isEmpty() && now - h.reportedAt > evidenceTimeoutNanos();
            boolean evidence =
                    load.isPresent()
                            && load.get().sampledAt() - Math.max(h.lastGrantAt, h.reportedAt)
                                    > ownerGrantTtlNanos();
            if (!evidence && !noEvidence) {
                continue;
            }
            int before = c.allocated();
            int room = load.map(l -> l.accepted() - certainInUse(state, h, l, now)).orElse(0);
            int held = unresponsive ? 0 : c.inUse + c.reservedInUse;
            int total = Math.min(c.allocated() + c.reserved(), Math.max(held, Math.max(0, room)));
            c.reservedInUse = Math.min(c.reserved(), total);
            c.reservedOpen = 0;
            c.reservedHeld = unresponsive ? 0 : c.reservedHeld;
            c.inUse = Math.min(c.allocated(), total - c.reservedInUse);
            c.unused = 0;
            c.inFlight = 0;
            state.allocated += c.allocated() - before;
            recountReserved(state);
        }
        removeEmptyCounts(h);
    }

    /**
     * Returns the time without a report after which the counts of a holder are reduced although no
     * load report shows that its requests have ended.
     */
    private long evidenceTimeoutNanos() {
        return timing.nonCandidateWait().toNanos();
    }

    /** Returns the use by other holders that is certain at the instant of a load report. */
    private int certainInUse(TargetState state, Holder excluded, TargetLoadReport load, long now) {
        if (now - load.sampledAt() > MINIMUM_PERIOD.toNanos()) {
            return 0;
        }
        int sum = 0;
        for (Map.Entry<Holder, SlotCounts> e : state.counts.entrySet()) {
            boolean hasRecentReport = now - e.getKey().reportedAt < ownerGrantTtlNanos();
            if (e.getKey() != excluded && hasRecentReport) {
                SlotCounts c = e.getValue();
                sum += Math.min(c.previousPeriodMin, c.currentPeriodMin);
            }
        }
        return sum;
    }

    /**
     * Compares the load report of the target with the reported use. After a takeover it may show
     * requests of holders that this owner does not know. Their number can only decrease, so the
     * minimum of the differences counts. Nothing is granted before the first load report from after
     * the takeover.
     */
    private void updateUnattributed(TargetState state, long now) {
        Optional<TargetLoadReport> load = view.loads().latest(state.target);
        if (load.isEmpty()) {
            state.loadVerified = true;
            return;
        }
        if (!ready || load.get().sampledAt() - startedAt <= 0) {
            return;
        }
        int difference =
                Math.max(0, load.get().accepted() - certainInUse(state, null, load.get(), now));
        state.unattributed =
                state.loadVerified ? Math.min(state.unattributed, difference) : difference;
        state.loadVerified = true;
    }
}
