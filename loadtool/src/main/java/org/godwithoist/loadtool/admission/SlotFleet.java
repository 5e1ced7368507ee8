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
    private static final long STEP = 250 * VirtualTime.MILLI;
    private static final Duration RETURN_SPACING = Duration.ofMillis(20);

    /** Size of frame, header, signature and sequence number of a message between daemons. */
    private static final long ENVELOPE_BYTES = 160;

    /** Estimated size of a placement lookup or its response, or of a placement report. */
    private static final long PLACEMENT_BYTES = 100;

    /** Turns have no deadline, so that every alternative serves the same turns. */
    private static final Duration NO_DEADLINE = Duration.ofHours(1);

    /** Time of a move of one token that makes every move more expensive than any prefill. */
    private static final Duration NO_MOVE = Duration.ofHours(1);

    private static final double MOVE_FIXED_MS = 20;

    private final World world;
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
    SlotFleet(World world, double moveMsPerToken, Duration maxWait) {
        this.world = world;
        this.moveMsPerToken = moveMsPerToken;
        this.maxWait = maxWait;
        this.pool =
                new Pool(
                        SHARD.pool(),
                        Pool.Kind.ENGINE,
                        1,
                        world.limits,
                        FencingMode.IGNORED,
                        EngineModel.CACHE_TOKENS);
        world.onReplaced.add(() -> version++);
        long second = VirtualTime.SECOND;
        world.time.after(Faults.LISTS_DISAGREE.from() * second, () -> version++);
        world.time.after(Faults.LISTS_DISAGREE.to() * second, () -> version++);
        for (int i = 0; i < world.daemons; i++) {
            daemons.add(new Daemon(i));
        }
        daemons.forEach(d -> world.time.every(STEP, d::step));
        world.time.after(Faults.OWNER_PAUSED.from() * second, this::pauseOwner);
        world.time.after(Faults.STORE_DOWN.from() * second, () -> store.setFault(StoreFault.DOWN));
        world.time.after(Faults.STORE_DOWN.to() * second, () -> store.setFault(StoreFault.NONE));
    }

    private static TargetId target(int engine) {
        return new TargetId("runner-" + engine);
    }

    private static int engine(TargetId target) {
        return Integer.parseInt(target.value().substring("runner-".length()));
    }

    private List<Target> targets(boolean blind) {
        List<Target> targets = new ArrayList<>();
        for (int i = blind ? 1 : 0; i < world.engines.size(); i++) {
            if (world.engines.get(i).inService()) {
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
        world.time.after(
                Faults.PAUSE_SECONDS * VirtualTime.SECOND,
                () -> {
                    Daemon d = paused.orElseThrow();
                    paused = Optional.empty();
                    List<Runnable> late = List.copyOf(d.backlog);
                    d.backlog.clear();
                    late.forEach(Runnable::run);
                });
    }

    private boolean isPaused(Daemon d) {
        return paused.filter(p -> p == d).isPresent();
    }

    private void send(Daemon to, long bytes, Runnable body) {
        world.controlBytes += bytes + ENVELOPE_BYTES;
        world.time.after(World.HOP, () -> to.does(body));
    }

    /** Hands a turn to its daemon, or to the next daemon if that one is paused. */
    void place(Turn turn) {
        Daemon d = daemons.get(turn.daemon());
        Daemon serving = isPaused(d) ? daemons.get((turn.daemon() + 1) % daemons.size()) : d;
        serving.place(turn);
    }

    /** Records why a turn's previous choice had no slot for it. */
    private void noteRefusal(Turn turn, int engine) {
        EngineModel e = world.engines.get(engine);
        int limit =
                daemons.stream()
                        .filter(d -> !isPaused(d) && d.lease.owns())
                        .flatMap(d -> d.ledger.stream())
                        .filter(SlotLedger::ready)
                        .mapToInt(l -> l.limit(target(engine)))
                        .findFirst()
                        .orElse(-1);
        int reserved = world.limits.reservedTotal();
        world.refused(turn, LossCause.of(e.load(), world.bound(engine), limit, reserved));
    }

    // ---- one daemon

    private final class Daemon implements SlotPolicy, TargetDirectory, Admission {
        private final int number;
        private final HostId host;
        private final PlacementDirectory placements;
        private final Router router;
        private final Set<Placing> waiting = new LinkedHashSet<>();
        private final ShardLease lease;
        private final SlotCache cache;
        private final List<Runnable> backlog = new ArrayList<>();
        private Optional<SlotLedger> ledger = Optional.empty();
        private Optional<Daemon> owner = Optional.empty();
        private long ownerEpoch;
        private long nextStoreUse;
        private long openExchange;
        private long openSince;
        private long lastContact;
        private boolean demand;

        Daemon(int number) {
            this.number = number;
            this.host = new HostId("daemon-" + number);
            var ticker = world.time.ticker();
            this.placements = new PlacementDirectory(PlacementDirectory.DEFAULT_CAPACITY, ticker);
            TargetCostModel models = new TargetCostModel(ticker, () -> world.daemons);
            if (moveMsPerToken < 0) {
                models.recordTransfer(1, NO_MOVE);
            }
            this.router = new Router(this, this, models, Runnable::run);
            this.lease = new ShardLease(host, 1, TIMING, world.time.ticker());
            this.cache = new SlotCache(SHARD, 1, TIMING, world.time.ticker(), this);
        }

        void does(Runnable body) {
            if (isPaused(this)) {
                backlog.add(body);
            } else {
                body.run();
            }
        }

        // ---- requests

        /** Looks up the chat's placement at its directory daemon and chooses an engine. */
        void place(Turn turn) {
            Daemon directory = directory(turn);
            if (directory == this) {
                new Placing(this, turn, placements.lookup(chat(turn))).compare();
                return;
            }
            world.controlBytes += 2 * (PLACEMENT_BYTES + ENVELOPE_BYTES);
            world.time.after(
                    2 * World.HOP,
                    () -> {
                        // Without a response the turn is routed as if the chat had no placement.
                        Optional<Placement> p =
                                isPaused(directory)
                                        ? Optional.empty()
                                        : directory.placements.lookup(chat(turn));
                        does(() -> new Placing(this, turn, p).compare());
                    });
        }

        private Daemon directory(Turn turn) {
            return RendezvousHash.rank(chat(turn).value(), daemons, d -> d.host.value()).getFirst();
        }

        private static ChatId chat(Turn turn) {
            return new ChatId("chat" + turn.chat());
        }

        private void report(Turn turn, PlacementChange.Kind kind, int engine, int tokens) {
            Daemon directory = directory(turn);
            var change = new PlacementChange(kind, target(engine), tokens, Optional.empty());
            if (directory == this) {
                placements.report(chat(turn), change);
            } else {
                send(
                        directory,
                        PLACEMENT_BYTES,
                        () -> directory.placements.report(chat(turn), change));
            }
        }

        /** Copies the cached history if the option requires it, then sends the turn. */
        private void serve(Placing p, RouteOption option, Slot slot) {
            EngineModel to = world.engines.get(engine(option.target().id()));
            if (option.strategy() != CacheStrategy.IMPORT) {
                use(p, engine(option.target().id()), slot);
                return;
            }
            EngineModel from = world.engines.get(engine(p.placement.orElseThrow().target()));
            int tokens = from.cachedTokens(p.turn.chat());
            double ms = MOVE_FIXED_MS + tokens * moveMsPerToken;
            world.time.after(
                    (long) (ms * VirtualTime.MILLI),
                    () ->
                            does(
                                    () -> {
                                        int found = to.cached(p.turn);
                                        if (world.releaseMoved) {
                                            from.release(p.turn.chat());
                                        }
                                        to.store(p.turn.chat(), tokens);
                                        world.moved(to.cached(p.turn) - found);
                                        use(p, engine(option.target().id()), slot);
                                    }));
        }

        private void use(Placing p, int engine, Slot slot) {
            Turn turn = p.turn;
            if (!slot.use()) {
                slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
                place(turn);
                return;
            }
            report(turn, PlacementChange.Kind.STARTED, engine, 0);
            long sentAt = world.time.now();
            int uncached = turn.prompt() - world.engines.get(engine).cached(turn);
            AtomicLong first = new AtomicLong();
            world.send(
                    turn,
                    engine,
                    () -> first.set(world.time.now() - sentAt),
                    () ->
                            does(
                                    () -> {
                                        ended(turn, engine, uncached, first.get());
                                        Duration took =
                                                PrefillTime.perThousandTokens(
                                                        Duration.ofNanos(first.get()), uncached);
                                        slot.release(Slot.Outcome.COMPLETED, took);
                                        if (cache.contendedReturnDue(RETURN_SPACING)) {
                                            report(true);
                                        }
                                    }));
        }

        private void ended(Turn turn, int engine, int uncached, long first) {
            router.costModel()
                    .recordResponse(
                            target(engine), uncached, turn.output(), Duration.ofNanos(first));
            int tokens = turn.prompt() + turn.output();
            report(turn, PlacementChange.Kind.FINISHED, engine, tokens);
        }

        // ---- lease

        void step() {
            if (isPaused(this)) {
                return;
            }
            lastContact = world.time.now();
            if (world.time.now() >= nextStoreUse) {
                nextStoreUse = world.time.now() + TIMING.renewalInterval().toNanos();
                if (!useStore()) {
                    askForPromises();
                }
                lease.knownOwner().ifPresent(h -> learn(h, lease.epoch()));
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
            report(false);
        }

        private void requestReport(Set<HostId> holders) {
            for (Daemon d : daemons) {
                if (!holders.contains(d.host)) {
                    continue;
                }
                if (d == this) {
                    report(true);
                } else {
                    long epoch = lease.epoch();
                    send(
                            d,
                            0,
                            () -> {
                                d.learn(host, epoch);
                                d.report(true);
                            });
                }
            }
        }

        private boolean useStore() {
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

        private void write(LeaseWrite w) {
            try {
                lease.onWritten(w, table.write(SHARD, w).join());
            } catch (CompletionException e) {
                switch (e.getCause()) {
                    case ConditionFailedException c -> lease.onConflict(w);
                    case OutcomeUnknownException c -> lease.onOutcomeUnknown(w);
                    default -> {
                        lease.onUnavailable(w);
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
                                        SHARD, lease.epoch(), TIMING, world.time.ticker(), view()));
            }
        }

        private void askForPromises() {
            lease.promiseRequest()
                    .ifPresent(
                            q -> {
                                Set<HostId> open = new HashSet<>(q.candidates());
                                for (Daemon d : daemons) {
                                    if (q.candidates().contains(d.host)) {
                                        send(d, 0, () -> d.promise(this, q, open));
                                    }
                                }
                            });
        }

        private void promise(Daemon asker, ShardLease.PromiseRequest q, Set<HostId> open) {
            if (!lease.promise(asker.host, q.epoch())) {
                return;
            }
            send(
                    asker,
                    0,
                    () -> {
                        open.remove(host);
                        if (open.isEmpty()) {
                            asker.lease.onAllPromised(q);
                        }
                    });
        }

        private void learn(HostId ownerHost, long epoch) {
            if (epoch >= ownerEpoch) {
                ownerEpoch = epoch;
                owner = daemons.stream().filter(d -> d.host.equals(ownerHost)).findFirst();
                cache.setEpoch(epoch);
            }
        }

        // ---- slots

        private void report(boolean atOnce) {
            long now = world.time.now();
            boolean open =
                    openExchange != 0 && now - openSince < TIMING.exchangeTimeout().toNanos();
            boolean due = atOnce || cache.reportDue() || cache.contendedReturnDue(RETURN_SPACING);
            if (!due || open || owner.isEmpty()) {
                return;
            }
            demand = false;
            Daemon o = owner.get();
            SlotReport report = cache.report();
            if (o == this) {
                cache.onResponse(report, exchange(this, report));
                compareAll();
                return;
            }
            openSince = now;
            openExchange = report.sequence();
            long bytes = ReportCodec.encode(report).getSerializedSize();
            send(o, bytes, () -> o.answer(this, report));
        }

        private void answer(Daemon holder, SlotReport report) {
            SlotReportResponse answer = exchange(holder, report);
            long bytes = ReportCodec.encode(answer).getSerializedSize();
            send(holder, bytes, () -> holder.answered(report, answer));
        }

        private void answered(SlotReport report, SlotReportResponse answer) {
            if (openExchange == report.sequence()) {
                openExchange = 0;
            }
            if (!answer.status().accepted() && answer.epoch() > cache.epoch()) {
                cache.setEpoch(answer.epoch());
            }
            cache.onResponse(report, answer);
            compareAll();
            if (demand || cache.contendedReturnDue(RETURN_SPACING)) {
                report(true);
            }
        }

        /** Compares the options of all waiting turns again after a response from the owner. */
        private void compareAll() {
            for (Placing p : waiting) {
                world.time.after(VirtualTime.MILLI, () -> does(p::compare));
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
            SlotReportResponse a = ledger.get().exchange(from.host, report, lease.owns());
            Set<HostId> requested = new HashSet<>(ledger.get().drainReportRequests());
            requested.remove(from.host);
            requestReport(requested);
            return a;
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
                if (chosen.size() < 3 && !chosen.contains(h) && !silent(h)) {
                    chosen.add(h);
                }
            }
            return chosen;
        }

        private boolean silent(HostId h) {
            return daemons.stream()
                    .filter(d -> d.host.equals(h))
                    .anyMatch(
                            d ->
                                    world.time.now() - d.lastContact
                                            >= TIMING.unresponsiveTimeout().toNanos());
        }

        private ShardView view() {
            return new ShardView(
                    world.limits,
                    true,
                    SlotFleet.this.targets(false),
                    hosts(),
                    this::silent,
                    w -> 1,
                    this::load);
        }

        private Optional<TargetLoadReport> load(TargetId t) {
            long takenAt = world.time.ticker().nanos() - World.LOAD_LAG;
            return Optional.of(
                    new TargetLoadReport("1", world.reported[engine(t)], 0, true, takenAt));
        }

        @Override
        public boolean acceptsWork(TargetId target) {
            return world.engines.get(engine(target)).inService();
        }

        @Override
        public List<Target> targets(PoolId pool) {
            return SlotFleet.this.targets(
                    Faults.LISTS_DISAGREE.at(world.time.now()) && number % 2 == 0);
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
        public Optional<Slot> acquire(SlotRequest request, Duration patience) {
            return cache.tryAcquire(request.target());
        }

        @Override
        public Duration expectedWait(TargetId target) {
            return cache.expectedWait(target);
        }

        @Override
        public int reservedHeld(TargetId target) {
            List<HostId> ranked = new ShardId(new PoolId(target.value()), 0).rank(hosts());
            int holders = world.limits.reservedHolders();
            return ranked.subList(0, holders).contains(host) ? 1 : 0;
        }

        @Override
        public boolean inContactWithAll() {
            return daemons.stream()
                    .allMatch(
                            d ->
                                    silent(d.host)
                                            || world.time.now() - d.lastContact
                                                    < 2 * VirtualTime.SECOND);
        }

        @Override
        public boolean reservedFitWithoutOwner(TargetId target, long since) {
            return false;
        }
    }

    // ---- one turn

    /** Placement of one turn: compares the options and waits for a slot. */
    private final class Placing {
        private final Daemon daemon;
        private final Turn turn;
        private final Optional<Placement> placement;
        private final SlotWaitPlanner wait;
        private Optional<SlotCache.Waiter> waiter = Optional.empty();
        private Optional<RouteOption> asked = Optional.empty();
        private boolean served;
        private long comparisons;

        Placing(Daemon daemon, Turn turn, Optional<Placement> placement) {
            this.daemon = daemon;
            this.turn = turn;
            this.placement = placement;
            var ticker = world.time.ticker();
            this.wait = new SlotWaitPlanner(ticker, Deadline.after(NO_DEADLINE, ticker), maxWait);
        }

        void compare() {
            if (served) {
                return;
            }
            daemon.waiting.add(this);
            long number = ++comparisons;
            SlotWaitPlanner.Step step = wait.next(options());
            TargetId before = asked.map(o -> o.target().id()).orElse(null);
            asked = Optional.of(step.option());
            if (!step.option().target().id().equals(before)) {
                if (before != null) {
                    noteRefusal(turn, engine(before));
                }
                ask(step.option().target().id());
            }
            if (!served) {
                world.time.after(
                        Math.max(VirtualTime.MILLI, step.maxWait().toNanos()),
                        () ->
                                daemon.does(
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
                            turn.prompt(),
                            placement,
                            Set.of(),
                            wait.triedTargets()));
        }

        private void ask(TargetId target) {
            waiter.ifPresent(daemon.cache::withdraw);
            Optional<Slot> slot = daemon.cache.tryAcquire(target);
            if (slot.isPresent()) {
                got(slot.get());
                return;
            }
            SlotCache.Waiter w =
                    daemon.cache.enqueue(
                            new SlotRequest(
                                    new RequestId("r" + requests++),
                                    new WorkspaceId("w" + turn.workspace()),
                                    Priority.INTERACTIVE,
                                    SHARD.pool(),
                                    target));
            waiter = Optional.of(w);
            var _ = w.slot().thenAccept(this::got);
            daemon.demand = true;
            daemon.report(true);
        }

        private void got(Slot slot) {
            served = true;
            daemon.waiting.remove(this);
            Duration waited = wait.currentWait();
            daemon.router.costModel().recordWait(slot.target(), waited);
            daemon.serve(this, asked.orElseThrow(), slot);
        }
    }
}
