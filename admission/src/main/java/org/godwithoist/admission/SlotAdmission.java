package org.godwithoist.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.TargetDirectory;

/**
 * Admission by slots that the owner of the target's shard grants. Each daemon runs one instance,
 * which is a holder for all shards and the owner of some. There is one task for each shard and one
 * for each peer that owns shards. Waiting requests are parked. Thread-safe.
 */
public final class SlotAdmission implements Admission, AdmissionPeers.Handler {
    /** Poll interval while a planned stop waits for the release of the shards. */
    private static final Duration RELEASE_POLL_INTERVAL = Duration.ofMillis(20);

    private final Supplier<Bundle> bundle;
    private final MemberDirectory members;
    private final TargetDirectory directory;
    private final LeaseTable table;
    private final AdmissionPeers peers;
    private final TargetLoadReports loads;
    private final Ticker ticker;
    private final AdmissionTiming timing;
    private final TargetIndex index;
    private final Map<ShardId, ShardTask> shards = new ConcurrentHashMap<>();
    private final Map<HostId, PeerTask> peerTasks = new ConcurrentHashMap<>();
    private volatile boolean running;

    /**
     * Creates the admission of a daemon. No task runs until {@link #start()}.
     *
     * @param bundle bundle in force
     * @param members daemons of the fleet
     * @param directory targets
     * @param table shard leases
     * @param peers messages to other daemons
     * @param loads load reports of targets
     * @param ticker clock
     * @param timing timing of the protocol
     */
    public SlotAdmission(
            Supplier<Bundle> bundle,
            MemberDirectory members,
            TargetDirectory directory,
            LeaseTable table,
            AdmissionPeers peers,
            TargetLoadReports loads,
            Ticker ticker,
            AdmissionTiming timing) {
        this.bundle = bundle;
        this.members = members;
        this.directory = directory;
        this.table = table;
        this.peers = peers;
        this.loads = loads;
        this.ticker = ticker;
        this.timing = timing;
        this.index = new TargetIndex(bundle, directory);
    }

    // ---- lifecycle

    /** Registers the message handlers; must be called before the daemon listens. */
    public void serve() {
        peers.serve(this);
    }

    /** Starts the tasks of all shards of the bundle in force. */
    public void start() {
        running = true;
        for (Pool p : bundle.get().pools().values()) {
            for (int i = 0; i < p.shards(); i++) {
                shard(new ShardId(p.id(), i));
            }
        }
    }

    /**
     * Releases the shards of this daemon for a planned stop. Requests in progress continue and are
     * reported to the new owners until {@link #close()}.
     *
     * @param timeout maximum wait; the release of a shard takes until its last grant expires (2.5
     *     s) plus one write
     * @return whether all shards were released in time
     */
    public boolean release(Duration timeout) {
        Deadline deadline = Deadline.after(timeout, ticker);
        shards.values().forEach(ShardTask::startRelease);
        while (shards.values().stream().anyMatch(ShardTask::holdsLease)) {
            if (deadline.isExpired() || !Tasks.sleep(deadline.cap(RELEASE_POLL_INTERVAL))) {
                return false;
            }
        }
        return true;
    }

    /** Stops all tasks; {@link #acquire} returns no slots from then on. */
    public void close() {
        running = false;
        shards.values().forEach(ShardTask::close);
        peerTasks.values().forEach(PeerTask::close);
    }

    /**
     * Returns whether this daemon keeps the slot ledger of a shard. It does from the takeover until
     * it releases the shard or another daemon takes it over, even while its lease has expired.
     */
    public boolean owns(ShardId shard) {
        ShardTask s = shards.get(shard);
        return s != null && s.hasLedger();
    }

    private ShardTask shard(ShardId id) {
        ShardTask known = shards.get(id);
        return known != null ? known : shards.computeIfAbsent(id, this::startShard);
    }

    private ShardTask startShard(ShardId id) {
        var fleet = new FleetView(id, bundle, members, directory, index, loads, ticker);
        var task =
                new ShardTask(
                        id,
                        members.self().host(),
                        members.self().incarnation(),
                        timing,
                        ticker,
                        fleet,
                        table,
                        peers,
                        this::wakePeer);
        if (running) {
            Tasks.start("shard-" + id.rowKey(), task::run);
        }
        return task;
    }

    private void wakePeer(HostId host) {
        peerTasks.computeIfAbsent(host, this::startPeer).wake();
    }

    private PeerTask startPeer(HostId host) {
        var task = new PeerTask(host, shards.values(), peers, timing);
        if (running) {
            Tasks.start("admission-peer-" + host, task::run);
        }
        return task;
    }

    // ---- requests of this daemon

    @Override
    public Optional<Slot> acquire(SlotRequest request, Duration timeout) {
        Pool pool = bundle.get().pools().get(request.pool());
        if (!running || pool == null || !index.acceptsWork(request.target())) {
            return Optional.empty();
        }
        ShardTask shard = shard(ShardId.of(pool, request.target()));
        Optional<Slot> local = shard.cache().tryAcquire(request.target());
        if (local.isPresent()) {
            return local;
        }
        SlotCache.Waiter waiter = shard.cache().enqueue(request);
        shard.onDemand().ifPresent(this::wakePeer);
        try {
            return Optional.of(waiter.slot().get(timeout.toNanos(), TimeUnit.NANOSECONDS));
        } catch (TimeoutException e) {
            return shard.cache().withdraw(waiter);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            shard.cache().withdraw(waiter).ifPresent(SlotAdmission::returnUnused);
            return Optional.empty();
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "future of a waiting request failed; it may only complete with a slot", e);
        }
    }

    private static void returnUnused(Slot slot) {
        slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
    }

    @Override
    public Duration expectedWait(TargetId target) {
        if (!running) {
            return Duration.ZERO;
        }
        return index.find(target)
                .map(t -> bundle.get().pools().get(t.pool()))
                .map(p -> shard(ShardId.of(p, target)).cache().expectedWait(target))
                .orElse(Duration.ZERO);
    }

    // ---- messages of other daemons

    @Override
    public List<SlotReportResponse> exchange(HostId from, List<SlotReport> reports) {
        List<SlotReportResponse> responses = new ArrayList<>();
        for (SlotReport r : reports) {
            ShardTask s = shards.get(r.shard());
            responses.add(
                    s == null
                            ? SlotReportResponse.rejection(
                                    r.shard(), SlotReportResponse.Status.NOT_OWNER, 0)
                            : s.exchange(from, r));
        }
        return responses;
    }

    @Override
    public boolean promise(HostId from, ShardId shard, long epoch) {
        return isActiveShard(shard) && shard(shard).promise(from, epoch);
    }

    @Override
    public void requestReport(HostId from, ShardId shard, long epoch) {
        if (isActiveShard(shard) && shard(shard).onReportRequest(from, epoch)) {
            wakePeer(from);
        }
    }

    private boolean isActiveShard(ShardId id) {
        Pool p = bundle.get().pools().get(id.pool());
        return running && p != null && id.index() >= 0 && id.index() < p.shards();
    }
}
