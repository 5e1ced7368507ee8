package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.godwithoist.admission.AdmissionTiming;
import org.godwithoist.admission.EngineLoad;
import org.godwithoist.admission.HolderReport;
import org.godwithoist.admission.HolderRules;
import org.godwithoist.admission.LeaseWrite;
import org.godwithoist.admission.OwnerAnswer;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.ShardLease;
import org.godwithoist.admission.ShardView;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotCache;
import org.godwithoist.admission.SlotLedger;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.admission.wire.LeaseRows;
import org.godwithoist.admission.wire.ReportCodec;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.godwithoist.platform.ConditionFailedException;
import org.godwithoist.platform.OutcomeUnknownException;
import org.godwithoist.platform.fake.FakeTableStore;
import org.godwithoist.platform.fake.StoreFault;

/**
 * The daemons of one shard with the real leases, ledgers and caches, in virtual time. Messages are
 * encoded only to count their bytes.
 */
final class SlotFleet {
    private static final ShardId SHARD = new ShardId(new PoolId("runners"), 0);
    private static final AdmissionTiming TIMING = AdmissionTiming.DEFAULT;
    private static final long STEP = 250 * VirtualTime.MILLI;
    private static final Duration RETURN_SPACING = Duration.ofMillis(20);

    /** Frame, header, signature and sequence number around a message between daemons. */
    private static final long ENVELOPE_BYTES = 160;

    /**
     * News of the owner are up to 500 ms old, so the first choice is always asked. The answer takes
     * one round trip; after that a turn asks the engine with the shortest wait.
     */
    private static final long FIRST_PATIENCE = 10 * VirtualTime.MILLI;

    private static final long LATER_PATIENCE = 300 * VirtualTime.MILLI;

    private final World world;
    private final FakeTableStore store = new FakeTableStore();
    private final LeaseRows table = new LeaseRows(store);
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private Optional<Daemon> paused = Optional.empty();
    private long requests;

    SlotFleet(World world) {
        this.world = world;
        for (int i = 0; i < world.engines.size(); i++) {
            targets.add(
                    new Target(
                            target(i),
                            new HostId("engine-" + i),
                            SHARD.pool(),
                            new FailureDomainId("d" + i % 3),
                            Endpoint.parse("127.0.0.1:1"),
                            ServiceState.IN));
        }
        for (int i = 0; i < world.daemons; i++) {
            daemons.add(new Daemon(new HostId("daemon-" + i)));
        }
        daemons.forEach(d -> world.time.every(STEP, d::step));
        long second = VirtualTime.SECOND;
        world.time.after(Faults.OWNER_PAUSED.from() * second, this::pauseOwner);
        world.time.after(Faults.STORE_DOWN.from() * second, () -> store.setFault(StoreFault.DOWN));
        world.time.after(Faults.STORE_DOWN.to() * second, () -> store.setFault(StoreFault.NONE));
    }

    private static TargetId target(int engine) {
        return new TargetId("runner-" + engine);
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

    /** Places a turn at its daemon, or at the next one if that is paused. */
    void place(Turn turn) {
        Daemon d = daemons.get(turn.daemon());
        Daemon serving = isPaused(d) ? daemons.get((turn.daemon() + 1) % daemons.size()) : d;
        serving.place(turn);
    }

    // ---- one daemon

    private final class Daemon implements HolderRules {
        private final HostId host;
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

        Daemon(HostId host) {
            this.host = host;
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

        void place(Turn turn) {
            List<Integer> ranked = world.ranked(turn);
            Optional<Slot> slot = cache.tryAcquire(target(ranked.get(0)));
            if (slot.isPresent()) {
                use(turn, ranked.get(0), slot.get());
            } else {
                ask(turn, ranked.get(0), ranked, FIRST_PATIENCE);
            }
        }

        /** Asks for a slot; after a while asks for the engine with the shortest wait instead. */
        private void ask(Turn turn, int engine, List<Integer> ranked, long patience) {
            SlotCache.Waiter w =
                    cache.enqueue(
                            new SlotRequest(
                                    new RequestId("r" + requests++),
                                    new WorkspaceId("w" + turn.workspace()),
                                    Priority.INTERACTIVE,
                                    SHARD.pool(),
                                    target(engine)));
            var _ = w.slot().thenAccept(s -> use(turn, engine, s));
            world.time.after(patience, () -> does(() -> reconsider(turn, w, ranked)));
            report(true);
        }

        private void reconsider(Turn turn, SlotCache.Waiter w, List<Integer> ranked) {
            if (w.slot().isDone()) {
                return;
            }
            cache.withdraw(w);
            int best = ranked.get(0);
            for (int i : ranked) {
                if (cache.expectedWait(target(i)).compareTo(cache.expectedWait(target(best))) < 0) {
                    best = i;
                }
            }
            ask(turn, best, ranked, LATER_PATIENCE);
        }

        private void use(Turn turn, int engine, Slot slot) {
            if (!slot.use()) {
                slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
                place(turn);
                return;
            }
            long sentAt = world.time.now();
            world.send(
                    turn,
                    engine,
                    () -> {
                        Duration took = Duration.ofNanos(world.time.now() - sentAt);
                        does(
                                () -> {
                                    slot.release(Slot.Outcome.ANSWERED, took);
                                    if (cache.urgentReturn(RETURN_SPACING)) {
                                        report(true);
                                    }
                                });
                    });
        }

        // ---- lease

        void step() {
            if (isPaused(this)) {
                return;
            }
            lastContact = world.time.now();
            if (world.time.now() >= nextStoreUse) {
                nextStoreUse = world.time.now() + TIMING.renewEvery().toNanos();
                if (!useStore()) {
                    askForPromises();
                }
                lease.knownOwner().ifPresent(h -> learn(h, lease.epoch()));
            }
            if (ledger.isPresent()) {
                ledger.get().update(view());
                ledger.get().tick(lease.owns());
                boolean ready = ledger.get().ready();
                requestReport(ready ? ledger.get().takeReportRequests() : ledger.get().missing());
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
                if (!lease.isHolder() || lease.mustRead()) {
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
                    case OutcomeUnknownException c -> lease.onUnknown(w);
                    default -> {
                        lease.onUnavailable(w);
                        throw e;
                    }
                }
            }
        }

        private void openLedger() {
            if (!lease.isHolder()) {
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
                cache.epoch(epoch);
            }
        }

        // ---- slots

        private void report(boolean atOnce) {
            long now = world.time.now();
            boolean open =
                    openExchange != 0 && now - openSince < TIMING.exchangeTimeout().toNanos();
            boolean due = atOnce || cache.reportDue() || cache.urgentReturn(RETURN_SPACING);
            if (!due || open || owner.isEmpty()) {
                return;
            }
            Daemon o = owner.get();
            HolderReport report = cache.report();
            if (o == this) {
                cache.answered(report, exchange(this, report));
                return;
            }
            openSince = now;
            openExchange = report.sequence();
            long bytes = ReportCodec.encode(report).getSerializedSize();
            send(o, bytes, () -> o.answer(this, report));
        }

        private void answer(Daemon holder, HolderReport report) {
            OwnerAnswer answer = exchange(holder, report);
            long bytes = ReportCodec.encode(answer).getSerializedSize();
            send(holder, bytes, () -> holder.answered(report, answer));
        }

        private void answered(HolderReport report, OwnerAnswer answer) {
            if (openExchange == report.sequence()) {
                openExchange = 0;
            }
            if (!answer.status().taken() && answer.epoch() > cache.epoch()) {
                cache.epoch(answer.epoch());
            }
            cache.answered(report, answer);
            if (cache.urgentReturn(RETURN_SPACING)) {
                report(true);
            }
        }

        private OwnerAnswer exchange(Daemon from, HolderReport report) {
            if (ledger.isEmpty()) {
                return new OwnerAnswer(
                        SHARD,
                        OwnerAnswer.Status.NOT_OWNER,
                        lease.epoch(),
                        0,
                        List.of(),
                        List.of());
            }
            OwnerAnswer a = ledger.get().exchange(from.host, report, lease.owns());
            Set<HostId> requested = new HashSet<>(ledger.get().takeReportRequests());
            requested.remove(from.host);
            requestReport(requested);
            return a;
        }

        // ---- surroundings

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
                    .anyMatch(d -> world.time.now() - d.lastContact >= TIMING.silence().toNanos());
        }

        private ShardView view() {
            return new ShardView(
                    world.limits, true, targets, hosts(), this::silent, w -> 1, this::load);
        }

        private Optional<EngineLoad> load(TargetId t) {
            int engine = Integer.parseInt(t.value().substring("runner-".length()));
            long takenAt = world.time.ticker().nanos() - World.LOAD_LAG;
            return Optional.of(new EngineLoad("1", world.reported[engine], 0, true, takenAt));
        }

        @Override
        public boolean acceptsWork(TargetId target) {
            return true;
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
}
