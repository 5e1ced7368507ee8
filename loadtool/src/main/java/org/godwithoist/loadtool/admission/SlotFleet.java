package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.admission.Admission;
import org.godwithoist.admission.AdmissionTiming;
import org.godwithoist.admission.LeaseWrite;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.ShardLease;
import org.godwithoist.admission.ShardView;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotCache;
import org.godwithoist.admission.SlotLedger;
import org.godwithoist.admission.SlotPolicy;
import org.godwithoist.admission.SlotReport;
import org.godwithoist.admission.SlotReportResponse;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.admission.TargetLoadReport;
import org.godwithoist.admission.wire.LeaseRows;
import org.godwithoist.admission.wire.ReportCodec;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.routing.CacheStrategy;
import org.godwithoist.routing.Placement;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.PrefillTime;
import org.godwithoist.routing.RendezvousHash;
import org.godwithoist.routing.RouteOption;
import org.godwithoist.routing.RouteRequest;
import org.godwithoist.routing.Router;
import org.godwithoist.routing.SlotWaitPlanner;
import org.godwithoist.routing.TargetCostModel;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;

/**
 * Simulates the daemons of one shard in virtual time, with the production leases, ledgers, slot
 * caches and routers. Messages are encoded only to count their bytes.
 */
final class SlotFleet {
    private static final ShardId SHARD = new ShardId(new PoolId("runners"), 0);
    private static final AdmissionTiming TIMING = AdmissionTiming.DEFAULT;
    private static final long STEP_INTERVAL_NANOS = 250 * EventScheduler.NANOS_PER_MILLI;
    private static final Duration MIN_RETURN_INTERVAL = Duration.ofMillis(20);

    /** Size of the frame, header, signature and sequence number of a message between daemons. */
    private static final long ENVELOPE_BYTES = 160;

    /** Estimated size of a placement lookup or its response, or of a placement report. */
    private static final long PLACEMENT_MESSAGE_BYTES = 100;

    /** Long enough that no turn expires, so that every alternative serves the same turns. */
    private static final Duration TURN_DEADLINE = Duration.ofHours(1);

    /** Move time per token that makes every cache move cost more than any prefill. */
    private static final Duration PROHIBITIVE_MOVE_TIME = Duration.ofHours(1);

    private static final double MOVE_FIXED_MS = 20;

    private final Simulation sim;
    private final FakeTableStore store = new FakeTableStore();
    private final LeaseRows table = new LeaseRows(store);
    private final List<Daemon> daemons = new ArrayList<>();
    private final double moveMsPerToken;
    private final Duration maxWait;
    private final Pool pool;
    private long version;
    private Optional<Daemon> paused = Optional.empty();
    private long requests;

    /**
     * Creates the daemons and schedules the faults.
     *
     * @param moveMsPerToken time of a cache move for each token; negative if caches cannot be moved
     * @param maxWait maximum wait for a slot of one engine before another one is tried
     */
    SlotFleet(Simulation sim, double moveMsPerToken, Duration maxWait) {
        this.sim = sim;
        this.moveMsPerToken = moveMsPerToken;
        this.maxWait = maxWait;
        this.pool =
                new Pool(
                        SHARD.pool(),
                        Pool.Kind.ENGINE,
                        1,
                        sim.limits,
                        FencingMode.IGNORED,
                        EngineModel.CACHE_CAPACITY_TOKENS);
        sim.replacementListeners.add(() -> version++);
        long second = EventScheduler.NANOS_PER_SECOND;
        sim.time.schedule(InjectedFault.LISTS_DISAGREE.fromSecond() * second, () -> version++);
        sim.time.schedule(InjectedFault.LISTS_DISAGREE.toSecond() * second, () -> version++);
        for (int i = 0; i < sim.daemons; i++) {
            daemons.add(new Daemon(i));
        }
        daemons.forEach(d -> sim.time.scheduleRepeating(STEP_INTERVAL_NANOS, d::step));
        sim.time.schedule(InjectedFault.OWNER_PAUSED.fromSecond() * second, this::pauseOwner);
        sim.time.schedule(
                InjectedFault.STORE_DOWN.fromSecond() * second,
                () -> store.setFault(StoreFault.DOWN));
        sim.time.schedule(
                InjectedFault.STORE_DOWN.toSecond() * second,
                () -> store.setFault(StoreFault.NONE));
    }

    private static TargetId target(int engine) {
        return new TargetId("runner-" + engine);
    }

    private static int engine(TargetId target) {
        return Integer.parseInt(target.value().substring("runner-".length()));
    }

    private List<Target> targets(boolean firstEngineMissing) {
        List<Target> targets = new ArrayList<>();
        for (int i = firstEngineMissing ? 1 : 0; i < sim.engines.size(); i++) {
            if (sim.engines.get(i).inService()) {
                targets.add(
                        new Target(
                                target(i),
                                new HostId("engine-" + i),
                                SHARD.pool(),
                                new FailureDomainId("d" + i % 3),
                                Endpoint.parse("127.0.0.1:1"),
                                ServiceState.IN_SERVICE));
            }
        }
        targets.sort(Comparator.comparing(Target::id));
        return targets;
    }

    private void pauseOwner() {
        paused = daemons.stream().filter(d -> d.lease.owns()).findFirst();
        sim.time.schedule(
                InjectedFault.OWNER_PAUSE_SECONDS * EventScheduler.NANOS_PER_SECOND,
                () -> {
                    Daemon d = paused.orElseThrow();
                    paused = Optional.empty();
                    List<Runnable> actions = List.copyOf(d.deferred);
                    d.deferred.clear();
                    actions.forEach(Runnable::run);
                });
    }

    private boolean isPaused(Daemon d) {
        return paused.filter(p -> p == d).isPresent();
    }

    private void send(Daemon to, long bytes, Runnable action) {
        sim.controlBytes += bytes + ENVELOPE_BYTES;
        sim.time.schedule(Simulation.HOP_NANOS, () -> to.runUnlessPaused(action));
    }

    /** Hands a turn to its daemon, or to the next daemon if that one is paused. */
    void place(Turn turn) {
        Daemon d = daemons.get(turn.daemon());
        Daemon serving = isPaused(d) ? daemons.get((turn.daemon() + 1) % daemons.size()) : d;
        serving.place(turn);
    }

    /** Records why a turn's previous choice had no slot for it. */
    private void recordMissCause(Turn turn, int engine) {
        EngineModel e = sim.engines.get(engine);
        int limit =
                daemons.stream()
                        .filter(d -> !isPaused(d) && d.lease.owns())
                        .flatMap(d -> d.ledger.stream())
                        .filter(SlotLedger::ready)
                        .mapToInt(l -> l.limit(target(engine)))
                        .findFirst()
                        .orElse(-1);
        int reserved = sim.limits.reservedTotal();
        sim.recordMissCause(turn, CacheMissCause.of(e.load(), sim.bound(engine), limit, reserved));
    }

    // ---- one daemon

    private final class Daemon implements SlotPolicy, TargetDirectory, Admission {
        private final int number;
        private final HostId host;
        private final PlacementDirectory placements;
        private final Router router;
        private final Set<PendingTurn> pendingTurns = new LinkedHashSet<>();
        private final ShardLease lease;
        private final SlotCache cache;
        private final List<Runnable> deferred = new ArrayList<>();
        private Optional<SlotLedger> ledger = Optional.empty();
        private Optional<Daemon> owner = Optional.empty();
        private long ownerEpoch;
        private long nextStoreAccessNanos;
        private long pendingReportSequence;
        private long pendingReportSentNanos;
        private long lastContactNanos;
        private boolean reportPending;

        Daemon(int number) {
            this.number = number;
            this.host = new HostId("daemon-" + number);
            var ticker = sim.time.ticker();
            this.placements = new PlacementDirectory(PlacementDirectory.DEFAULT_CAPACITY, ticker);
            TargetCostModel models = new TargetCostModel(ticker, () -> sim.daemons);
            if (moveMsPerToken < 0) {
                models.recordTransfer(1, PROHIBITIVE_MOVE_TIME);
            }
            this.router = new Router(this, this, models, Runnable::run);
            this.lease = new ShardLease(host, 1, TIMING, sim.time.ticker());
            this.cache = new SlotCache(SHARD, 1, TIMING, sim.time.ticker(), this);
        }

        void runUnlessPaused(Runnable action) {
            if (isPaused(this)) {
                deferred.add(action);
            } else {
                action.run();
            }
        }

        // ---- requests

        /** Looks up the chat's placement at its directory daemon and chooses an engine. */
        void place(Turn turn) {
            Daemon directory = directory(turn);
            if (directory == this) {
                new PendingTurn(this, turn, placements.lookup(chat(turn))).compare();
                return;
            }
            sim.controlBytes += 2 * (PLACEMENT_MESSAGE_BYTES + ENVELOPE_BYTES);
            sim.time.schedule(
                    2 * Simulation.HOP_NANOS,
                    () -> {
                        // Without a response the turn is routed as if the chat had no placement.
                        Optional<Placement> p =
                                isPaused(directory)
                                        ? Optional.empty()
                                        : directory.placements.lookup(chat(turn));
                        runUnlessPaused(() -> new PendingTurn(this, turn, p).compare());
                    });
        }

        private Daemon directory(Turn turn) {
            return RendezvousHash.rank(chat(turn).value(), daemons, d -> d.host.value()).getFirst();
        }

        private static ChatId chat(Turn turn) {
            return new ChatId("chat" + turn.chat());
        }

        private void reportPlacement(Turn turn, PlacementChange.Kind kind, int engine, int tokens) {
            Daemon directory = directory(turn);
            var change = new PlacementChange(kind, target(engine), tokens, Optional.empty());
            if (directory == this) {
                placements.report(chat(turn), change);
            } else {
                send(
                        directory,
                        PLACEMENT_MESSAGE_BYTES,
                        () -> directory.placements.report(chat(turn), change));
            }
        }

        /** Copies the cached history if the option requires it, then sends the turn. */
        private void serve(PendingTurn pending, RouteOption option, Slot slot) {
            EngineModel to = sim.engines.get(engine(option.target().id()));
            if (option.strategy() != CacheStrategy.IMPORT) {
                sendTurn(pending, engine(option.target().id()), slot);
                return;
            }
            EngineModel from = sim.engines.get(engine(pending.placement.orElseThrow().target()));
            int tokens = from.cachedTokens(pending.turn.chat());
            double ms = MOVE_FIXED_MS + tokens * moveMsPerToken;
            sim.time.schedule(
                    (long) (ms * EventScheduler.NANOS_PER_MILLI),
                    () ->
                            runUnlessPaused(
                                    () -> {
                                        int cachedBefore = to.cachedHistory(pending.turn);
                                        if (sim.releaseExported) {
                                            from.evict(pending.turn.chat());
                                        }
                                        to.cacheHistory(pending.turn.chat(), tokens);
                                        sim.recordMovedTokens(
                                                to.cachedHistory(pending.turn) - cachedBefore);
                                        sendTurn(pending, engine(option.target().id()), slot);
                                    }));
        }

        private void sendTurn(PendingTurn pending, int engine, Slot slot) {
            Turn turn = pending.turn;
            if (!slot.use()) {
                slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
                place(turn);
                return;
            }
            reportPlacement(turn, PlacementChange.Kind.STARTED, engine, 0);
            long sentAt = sim.time.now();
            int uncached = turn.promptTokens() - sim.engines.get(engine).cachedHistory(turn);
            AtomicLong firstTokenNanos = new AtomicLong();
            sim.send(
                    turn,
                    engine,
                    () -> firstTokenNanos.set(sim.time.now() - sentAt),
                    () ->
                            runUnlessPaused(
                                    () -> {
                                        onEnd(turn, engine, uncached, firstTokenNanos.get());
                                        Duration took =
                                                PrefillTime.perThousandTokens(
                                                        Duration.ofNanos(firstTokenNanos.get()),
                                                        uncached);
                                        slot.release(Slot.Outcome.COMPLETED, took);
                                        if (cache.contendedReturnDue(MIN_RETURN_INTERVAL)) {
                                            reportSlots(true);
                                        }
                                    }));
        }

        private void onEnd(Turn turn, int engine, int uncached, long firstTokenNanos) {
            router.costModel()
                    .recordResponse(
                            target(engine),
                            uncached,
                            turn.outputTokens(),
                            Duration.ofNanos(firstTokenNanos));
            int tokens = turn.promptTokens() + turn.outputTokens();
            reportPlacement(turn, PlacementChange.Kind.FINISHED, engine, tokens);
        }

        // ---- lease

        void step() {
            if (isPaused(this)) {
                return;
            }
            lastContactNanos = sim.time.now();
            if (sim.time.now() >= nextStoreAccessNanos) {
                nextStoreAccessNanos = sim.time.now() + TIMING.renewalInterval().toNanos();
                if (!accessStore()) {
                    requestPromises();
                }
                lease.knownOwner().ifPresent(h -> recordOwner(h, lease.epoch()));
            }
            if (ledger.isPresent()) {
                ledger.get().update(view());
                ledger.get().tick(lease.owns());
                boolean ready = ledger.get().ready();
                requestReport(
                        ready
                                ? ledger.get().drainReportRequests()
                                : ledger.get().unreportedMembers());
            }
            reportSlots(false);
        }

        private void requestReport(Set<HostId> holders) {
            for (Daemon d : daemons) {
                if (!holders.contains(d.host)) {
                    continue;
                }
                if (d == this) {
                    reportSlots(true);
                } else {
                    long epoch = lease.epoch();
                    send(
                            d,
                            0,
                            () -> {
                                d.recordOwner(host, epoch);
                                d.reportSlots(true);
                            });
                }
            }
        }

        private boolean accessStore() {
            try {
                if (!lease.isLastKnownOwner() || lease.mustRead()) {
                    lease.onRead(table.read(SHARD).join());
                }
                int rank = SHARD.rank(hosts()).indexOf(host);
                Optional<LeaseWrite> write =
                        lease.renewal(candidates()).or(() -> lease.takeover(rank, candidates()));
                if (write.isPresent()) {
                    write(write.get());
                }
            } catch (CompletionException e) {
                return false;
            } finally {
                openLedger();
            }
            return true;
        }

        private void write(LeaseWrite write) {
            try {
                lease.onWritten(write, table.write(SHARD, write).join());
            } catch (CompletionException e) {
                switch (e.getCause()) {
                    case ConditionFailedException c -> lease.onConflict(write);
                    case OutcomeUnknownException c -> lease.onOutcomeUnknown(write);
                    default -> {
                        lease.onUnavailable(write);
                        throw e;
                    }
                }
            }
        }

        private void openLedger() {
            if (!lease.isLastKnownOwner()) {
                ledger = Optional.empty();
            } else if (ledger.isEmpty() || ledger.get().epoch() != lease.epoch()) {
                ledger =
                        Optional.of(
                                new SlotLedger(
                                        SHARD, lease.epoch(), TIMING, sim.time.ticker(), view()));
            }
        }

        private void requestPromises() {
            lease.promiseRequest()
                    .ifPresent(
                            request -> {
                                Set<HostId> notPromised = new HashSet<>(request.candidates());
                                for (Daemon d : daemons) {
                                    if (request.candidates().contains(d.host)) {
                                        send(d, 0, () -> d.promise(this, request, notPromised));
                                    }
                                }
                            });
        }

        private void promise(
                Daemon requester, ShardLease.PromiseRequest request, Set<HostId> notPromised) {
            if (!lease.promise(requester.host, request.epoch())) {
                return;
            }
            send(
                    requester,
                    0,
                    () -> {
                        notPromised.remove(host);
                        if (notPromised.isEmpty()) {
                            requester.lease.onAllPromised(request);
                        }
                    });
        }

        private void recordOwner(HostId ownerHost, long epoch) {
            if (epoch >= ownerEpoch) {
                ownerEpoch = epoch;
                owner = daemons.stream().filter(d -> d.host.equals(ownerHost)).findFirst();
                cache.setEpoch(epoch);
            }
        }

        // ---- slots

        private void reportSlots(boolean immediately) {
            long now = sim.time.now();
            boolean awaitingResponse =
                    pendingReportSequence != 0
                            && now - pendingReportSentNanos < TIMING.exchangeTimeout().toNanos();
            boolean due =
                    immediately
                            || cache.reportDue()
                            || cache.contendedReturnDue(MIN_RETURN_INTERVAL);
            if (!due || awaitingResponse || owner.isEmpty()) {
                return;
            }
            reportPending = false;
            Daemon shardOwner = owner.get();
            SlotReport report = cache.report();
            if (shardOwner == this) {
                cache.onResponse(report, exchange(this, report));
                compareWaiting();
                return;
            }
            pendingReportSentNanos = now;
            pendingReportSequence = report.sequence();
            long bytes = ReportCodec.encode(report).getSerializedSize();
            send(shardOwner, bytes, () -> shardOwner.handleReport(this, report));
        }

        private void handleReport(Daemon holder, SlotReport report) {
            SlotReportResponse response = exchange(holder, report);
            long bytes = ReportCodec.encode(response).getSerializedSize();
            send(holder, bytes, () -> holder.onResponse(report, response));
        }

        private void onResponse(SlotReport report, SlotReportResponse response) {
            if (pendingReportSequence == report.sequence()) {
                pendingReportSequence = 0;
            }
            if (!response.status().accepted() && response.epoch() > cache.epoch()) {
                cache.setEpoch(response.epoch());
            }
            cache.onResponse(report, response);
            compareWaiting();
            if (reportPending || cache.contendedReturnDue(MIN_RETURN_INTERVAL)) {
                reportSlots(true);
            }
        }

        /** Compares the options of all waiting turns again after a response from the owner. */
        private void compareWaiting() {
            for (PendingTurn p : pendingTurns) {
                sim.time.schedule(
                        EventScheduler.NANOS_PER_MILLI, () -> runUnlessPaused(p::compare));
            }
        }

        private SlotReportResponse exchange(Daemon from, SlotReport report) {
            if (ledger.isEmpty()) {
                return new SlotReportResponse(
                        SHARD,
                        SlotReportResponse.Status.NOT_OWNER,
                        lease.epoch(),
                        0,
                        List.of(),
                        List.of());
            }
            SlotReportResponse response = ledger.get().exchange(from.host, report, lease.owns());
            Set<HostId> requested = new HashSet<>(ledger.get().drainReportRequests());
            requested.remove(from.host);
            requestReport(requested);
            return response;
        }

        // ---- membership and load

        private Set<HostId> hosts() {
            Set<HostId> hosts = new HashSet<>();
            daemons.forEach(d -> hosts.add(d.host));
            return hosts;
        }

        private List<HostId> candidates() {
            List<HostId> chosen = new ArrayList<>(List.of(host));
            for (HostId h : SHARD.rank(hosts())) {
                if (chosen.size() < 3 && !chosen.contains(h) && !isUnresponsive(h)) {
                    chosen.add(h);
                }
            }
            return chosen;
        }

        private boolean isUnresponsive(HostId h) {
            return daemons.stream()
                    .filter(d -> d.host.equals(h))
                    .anyMatch(
                            d ->
                                    sim.time.now() - d.lastContactNanos
                                            >= TIMING.unresponsiveTimeout().toNanos());
        }

        private ShardView view() {
            return new ShardView(
                    sim.limits,
                    true,
                    SlotFleet.this.targets(false),
                    hosts(),
                    this::isUnresponsive,
                    w -> 1,
                    this::load);
        }

        private Optional<TargetLoadReport> load(TargetId t) {
            long takenAt = sim.time.ticker().nanos() - Simulation.LOAD_LAG_NANOS;
            return Optional.of(
                    new TargetLoadReport("1", sim.reportedLoads[engine(t)], 0, true, takenAt));
        }

        @Override
        public boolean acceptsWork(TargetId target) {
            return sim.engines.get(engine(target)).inService();
        }

        @Override
        public List<Target> targets(PoolId pool) {
            return SlotFleet.this.targets(
                    InjectedFault.LISTS_DISAGREE.isActive(sim.time.now()) && number % 2 == 0);
        }

        @Override
        public Optional<Target> find(TargetId id) {
            return targets(SHARD.pool()).stream().filter(t -> t.id().equals(id)).findFirst();
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public Optional<Slot> acquire(SlotRequest request, Duration timeout) {
            return cache.tryAcquire(request.target());
        }

        @Override
        public Duration expectedWait(TargetId target) {
            return cache.expectedWait(target);
        }

        @Override
        public int reservedHeld(TargetId target) {
            List<HostId> ranked = new ShardId(new PoolId(target.value()), 0).rank(hosts());
            int holders = sim.limits.reservedHolders();
            return ranked.subList(0, holders).contains(host) ? 1 : 0;
        }

        @Override
        public boolean inContactWithAll() {
            return daemons.stream()
                    .allMatch(
                            d ->
                                    isUnresponsive(d.host)
                                            || sim.time.now() - d.lastContactNanos
                                                    < 2 * EventScheduler.NANOS_PER_SECOND);
        }

        @Override
        public boolean reservedFitWithoutOwner(TargetId target, long since) {
            return false;
        }
    }

    // ---- one turn

    /** Placement of one turn: compares the options and waits for a slot. */
    private final class PendingTurn {
        private final Daemon daemon;
        private final Turn turn;
        private final Optional<Placement> placement;
        private final SlotWaitPlanner planner;
        private Optional<SlotCache.Waiter> waiter = Optional.empty();
        private Optional<RouteOption> chosen = Optional.empty();
        private boolean slotReceived;
        private long comparisons;

        PendingTurn(Daemon daemon, Turn turn, Optional<Placement> placement) {
            this.daemon = daemon;
            this.turn = turn;
            this.placement = placement;
            var ticker = sim.time.ticker();
            this.planner =
                    new SlotWaitPlanner(ticker, Deadline.after(TURN_DEADLINE, ticker), maxWait);
        }

        void compare() {
            if (slotReceived) {
                return;
            }
            daemon.pendingTurns.add(this);
            long number = ++comparisons;
            SlotWaitPlanner.Step step = planner.next(options());
            TargetId previous = chosen.map(o -> o.target().id()).orElse(null);
            chosen = Optional.of(step.option());
            if (!step.option().target().id().equals(previous)) {
                if (previous != null) {
                    recordMissCause(turn, engine(previous));
                }
                requestSlot(step.option().target().id());
            }
            if (!slotReceived) {
                sim.time.schedule(
                        Math.max(EventScheduler.NANOS_PER_MILLI, step.maxWait().toNanos()),
                        () ->
                                daemon.runUnlessPaused(
                                        () -> {
                                            if (number == comparisons) {
                                                compare();
                                            }
                                        }));
            }
        }

        private List<RouteOption> options() {
            return daemon.router.choose(
                    new RouteRequest(
                            Daemon.chat(turn),
                            pool,
                            turn.promptTokens(),
                            placement,
                            Set.of(),
                            planner.triedTargets()));
        }

        private void requestSlot(TargetId target) {
            waiter.ifPresent(daemon.cache::withdraw);
            Optional<Slot> slot = daemon.cache.tryAcquire(target);
            if (slot.isPresent()) {
                onSlot(slot.get());
                return;
            }
            SlotCache.Waiter newWaiter =
                    daemon.cache.enqueue(
                            new SlotRequest(
                                    new RequestId("r" + requests++),
                                    new WorkspaceId("w" + turn.workspace()),
                                    Priority.INTERACTIVE,
                                    SHARD.pool(),
                                    target));
            waiter = Optional.of(newWaiter);
            var _ = newWaiter.slot().thenAccept(this::onSlot);
            daemon.reportPending = true;
            daemon.reportSlots(true);
        }

        private void onSlot(Slot slot) {
            slotReceived = true;
            daemon.pendingTurns.remove(this);
            Duration waited = planner.currentWait();
            daemon.router.costModel().recordWait(slot.target(), waited);
            daemon.serve(this, chosen.orElseThrow(), slot);
        }
    }
}
