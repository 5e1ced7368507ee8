package org.godwithoist.loadtool.admission;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.admission.AdmissionPeers;
import org.godwithoist.admission.AdmissionTiming;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.ShardView;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotCache;
import org.godwithoist.admission.SlotLedger;
import org.godwithoist.admission.SlotPolicy;
import org.godwithoist.admission.SlotReport;
import org.godwithoist.admission.SlotReportResponse;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.admission.TargetLoadReport;
import org.godwithoist.admission.wire.TransportPeers;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;

/**
 * Simulates one shard with a fixed owner and all its slot holders in virtual time. Messages pass
 * through the production {@link TransportPeers} and a transport that counts their bytes.
 */
final class ReportFleet {
    private static final AdmissionTiming TIMING = AdmissionTiming.DEFAULT;
    private static final ShardId SHARD = new ShardId(new PoolId("runners"), 117);
    private static final long EPOCH = 41;
    private static final Duration MIN_RETURN_INTERVAL = Duration.ofMillis(20);

    /** Size of the frame, header, signature and sequence number of a message between daemons. */
    private static final long ENVELOPE_BYTES = 160;

    /** A daemon checks four times per report interval whether a report is due. */
    private static final long POLL_INTERVAL_NANOS = 125 * EventScheduler.NANOS_PER_MILLI;

    private static final long OWNER_TICK_INTERVAL_NANOS = 250 * EventScheduler.NANOS_PER_MILLI;
    private static final long LOAD_REPORT_INTERVAL_NANOS = 500 * EventScheduler.NANOS_PER_MILLI;
    private static final long HOP_NANOS = 1500_000;
    private static final long MAX_WAIT_NANOS = 5 * EventScheduler.NANOS_PER_SECOND;
    private static final int WORKSPACE_COUNT = 10;

    /**
     * Size of the simulated shard.
     *
     * @param daemons number of slot holders; the first one is the owner
     * @param targets number of targets of the shard
     * @param maxConcurrent concurrent requests permitted at each target
     * @param reservedHolders number of daemons with a reserved slot of each target
     * @param skewFloor number of requests in progress at a target that is always permitted
     */
    record Size(int daemons, int targets, int maxConcurrent, int reservedHolders, int skewFloor) {}

    /**
     * Load that each daemon puts on the shard.
     *
     * @param rate requests per second
     * @param holdNanos mean time for which a request uses its slot, in nanoseconds
     */
    record Load(double rate, long holdNanos) {}

    /** Numbers of messages and requests, and message bytes without the envelopes. */
    record Traffic(
            long messages,
            long exchanges,
            long reportBytes,
            long responseBytes,
            long served,
            long waitedMs,
            long unserved) {
        long envelopeBytes() {
            return messages * ENVELOPE_BYTES;
        }

        Traffic minus(Traffic t) {
            return new Traffic(
                    messages - t.messages,
                    exchanges - t.exchanges,
                    reportBytes - t.reportBytes,
                    responseBytes - t.responseBytes,
                    served - t.served,
                    waitedMs - t.waitedMs,
                    unserved - t.unserved);
        }
    }

    private final EventScheduler time = new EventScheduler();
    private final Random random;
    private final Load load;
    private final AdmissionLimits limits;
    private final List<Target> targets = new ArrayList<>();
    private final Map<TargetId, Set<HostId>> reserved = new HashMap<>();
    private final Map<TargetId, Integer> inProgress = new HashMap<>();
    private final Map<TargetId, TargetLoadReport> loadReports = new HashMap<>();
    private final Map<HostId, Daemon> daemons = new HashMap<>();
    private final Daemon owner;
    private final SlotLedger ledger;
    private long messages;
    private long exchanges;
    private long reportBytes;
    private long responseBytes;
    private long served;
    private long waitedMs;
    private long unserved;
    private long requests;

    ReportFleet(Size size, Load load, long seed) {
        this.random = new Random(seed);
        this.load = load;
        // Targets are warm from the start, because steady-state traffic is measured: the cold-start
        // limit equals the concurrency limit.
        this.limits =
                new AdmissionLimits(
                        1.5,
                        size.skewFloor(),
                        size.maxConcurrent(),
                        2,
                        3.0,
                        size.maxConcurrent(),
                        size.reservedHolders(),
                        1);
        List<HostId> hosts = new ArrayList<>();
        for (int i = 0; i < size.daemons(); i++) {
            hosts.add(new HostId("daemon-" + i));
        }
        for (int i = 0; i < size.targets(); i++) {
            TargetId id = new TargetId("runner-" + i);
            targets.add(
                    new Target(
                            id,
                            new HostId("engine-" + i),
                            SHARD.pool(),
                            new FailureDomainId("d" + i % 3),
                            Endpoint.parse("127.0.0.1:1"),
                            ServiceState.IN_SERVICE));
            List<HostId> ranked = new ShardId(new PoolId(id.value()), 0).rank(hosts);
            reserved.put(id, Set.copyOf(ranked.subList(0, size.reservedHolders())));
            inProgress.put(id, 0);
        }
        reportLoads();
        hosts.forEach(h -> daemons.put(h, new Daemon(h)));
        this.owner = daemons.get(hosts.get(0));
        this.ledger = new SlotLedger(SHARD, EPOCH, TIMING, time.ticker(), shardView());
        time.scheduleRepeating(LOAD_REPORT_INTERVAL_NANOS, this::reportLoads);
        time.scheduleRepeating(OWNER_TICK_INTERVAL_NANOS, this::tickOwner);
        hosts.forEach(h -> daemons.get(h).start());
    }

    private ShardView shardView() {
        return new ShardView(
                limits,
                true,
                targets,
                new HashSet<>(daemons.keySet()),
                h -> false,
                w -> 1,
                t -> Optional.ofNullable(loadReports.get(t)));
    }

    private void reportLoads() {
        long now = time.ticker().nanos();
        inProgress.forEach(
                (t, n) ->
                        loadReports.put(
                                t, new TargetLoadReport("e3f1-" + t.value(), n, 0, true, now)));
    }

    private void tickOwner() {
        ledger.update(shardView());
        ledger.tick(true);
        requestReports(ledger.ready() ? ledger.drainReportRequests() : ledger.unreportedMembers());
    }

    private void requestReports(Set<HostId> holders) {
        for (HostId h : holders) {
            if (h.equals(owner.host)) {
                owner.triggerReport();
            } else {
                owner.peers.requestReport(h, SHARD, EPOCH, TIMING.exchangeTimeout());
            }
        }
    }

    /** Runs until a number of seconds since the start and returns the traffic since the start. */
    Traffic runUntilSecond(int second) {
        time.runUntil(second * EventScheduler.NANOS_PER_SECOND);
        return new Traffic(
                messages, exchanges, reportBytes, responseBytes, served, waitedMs, unserved);
    }

    private final class Daemon implements SlotPolicy, AdmissionPeers.Handler, PeerTransport {
        private final HostId host;
        private final SlotCache cache;
        private final AdmissionPeers peers;
        private final Map<String, ServedMethod<?, ?>> methods = new HashMap<>();
        private boolean reportTriggered;
        private boolean exchangeOpen;

        Daemon(HostId host) {
            this.host = host;
            this.cache = new SlotCache(SHARD, 1764800000000L, TIMING, time.ticker(), this);
            this.peers = new TransportPeers(this, time.ticker());
            peers.serve(this);
        }

        void start() {
            cache.setEpoch(EPOCH);
            time.schedule(
                    random.nextLong(POLL_INTERVAL_NANOS),
                    () -> time.scheduleRepeating(POLL_INTERVAL_NANOS, this::exchangeIfDue));
            nextRequest();
        }

        // ---- requests

        private void nextRequest() {
            time.schedule(
                    exponential(EventScheduler.NANOS_PER_SECOND / load.rate()),
                    () -> {
                        sendRequest(targets.get(random.nextInt(targets.size())).id());
                        nextRequest();
                    });
        }

        private long exponential(double mean) {
            return (long) (-mean * Math.log(1 - random.nextDouble()));
        }

        private void sendRequest(TargetId target) {
            Optional<Slot> local = cache.tryAcquire(target);
            if (local.isPresent()) {
                use(local.get(), time.now());
                return;
            }
            long requestedAtNanos = time.now();
            SlotCache.Waiter waiter =
                    cache.enqueue(
                            new SlotRequest(
                                    new RequestId("r" + requests++),
                                    new WorkspaceId("workspace-" + random.nextInt(WORKSPACE_COUNT)),
                                    Priority.INTERACTIVE,
                                    SHARD.pool(),
                                    target));
            var _ = waiter.slot().thenAccept(s -> use(s, requestedAtNanos));
            time.schedule(MAX_WAIT_NANOS, () -> withdraw(waiter));
            triggerReport();
        }

        private void withdraw(SlotCache.Waiter waiter) {
            if (!waiter.slot().isDone()) {
                cache.withdraw(waiter);
                unserved++;
            }
        }

        private void use(Slot slot, long requestedAtNanos) {
            if (!slot.use()) {
                slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
                unserved++;
                return;
            }
            served++;
            waitedMs += (time.now() - requestedAtNanos) / EventScheduler.NANOS_PER_MILLI;
            inProgress.merge(slot.target(), 1, Integer::sum);
            time.schedule(
                    exponential((double) load.holdNanos()),
                    () -> {
                        inProgress.merge(slot.target(), -1, Integer::sum);
                        slot.release(Slot.Outcome.COMPLETED, Duration.ofMillis(100));
                    });
        }

        // ---- exchange with the owner

        void triggerReport() {
            reportTriggered = true;
            exchangeIfDue();
        }

        private void exchangeIfDue() {
            boolean due =
                    reportTriggered
                            || cache.reportDue()
                            || cache.contendedReturnDue(MIN_RETURN_INTERVAL);
            if (!due || exchangeOpen) {
                return;
            }
            reportTriggered = false;
            SlotReport report = cache.report();
            if (this == owner) {
                cache.onResponse(report, exchange(host, List.of(report)).getFirst());
                return;
            }
            exchangeOpen = true;
            var _ =
                    peers.exchange(owner.host, List.of(report), TIMING.exchangeTimeout())
                            .thenAccept(responses -> onResponse(report, responses.getFirst()));
        }

        private void onResponse(SlotReport report, SlotReportResponse response) {
            exchangeOpen = false;
            if (response.status().accepted()) {
                cache.onResponse(report, response);
            } else {
                reportTriggered = true;
            }
            exchangeIfDue();
        }

        // ---- messages

        @Override
        public List<SlotReportResponse> exchange(HostId from, List<SlotReport> reports) {
            List<SlotReportResponse> responses = new ArrayList<>();
            reports.forEach(r -> responses.add(ledger.exchange(from, r, true)));
            Set<HostId> requested = new HashSet<>(ledger.drainReportRequests());
            requested.remove(from);
            time.schedule(0, () -> requestReports(requested));
            return responses;
        }

        @Override
        public boolean promise(HostId from, ShardId shard, long epoch) {
            return false;
        }

        @Override
        public void requestReport(HostId from, ShardId shard, long epoch) {
            triggerReport();
        }

        @Override
        public <Q extends MessageLite, R extends MessageLite> void serve(
                Method<Q, R> method, Handler<Q, R> handler) {
            methods.put(method.name(), new ServedMethod<>(method, handler));
        }

        @Override
        public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
                HostId peer, Method<Q, R> method, Q request, Duration timeout) {
            CompletableFuture<R> result = new CompletableFuture<>();
            messages++;
            reportBytes += request.getSerializedSize();
            exchanges += method.name().equals("Exchange") ? 1 : 0;
            ServedMethod<?, ?> served = daemons.get(peer).methods.get(method.name());
            time.schedule(
                    HOP_NANOS,
                    () -> {
                        byte[] response = served.handle(host, request.toByteArray());
                        messages++;
                        responseBytes += response.length;
                        time.schedule(HOP_NANOS, () -> result.complete(parse(method, response)));
                    });
            return result;
        }

        // ---- slot policy

        @Override
        public boolean acceptsWork(TargetId target) {
            return true;
        }

        @Override
        public int reservedHeld(TargetId target) {
            return reserved.get(target).contains(host) ? 1 : 0;
        }

        @Override
        public boolean inContactWithAll() {
            return true;
        }

        @Override
        public boolean reservedFitWithoutOwner(TargetId target, long since) {
            return false;
        }
    }

    private record ServedMethod<Q extends MessageLite, R extends MessageLite>(
            PeerTransport.Method<Q, R> method, PeerTransport.Handler<Q, R> handler) {
        byte[] handle(HostId from, byte[] request) {
            try {
                return handler.handle(from, method.requestParser().parseFrom(request))
                        .toByteArray();
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException(
                        "request cannot be parsed, but the simulated transport changes no byte", e);
            }
        }
    }

    private static <Q extends MessageLite, R extends MessageLite> R parse(
            PeerTransport.Method<Q, R> method, byte[] response) {
        try {
            return method.responseParser().parseFrom(response);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "response cannot be parsed, but the simulated transport changes no byte", e);
        }
    }
}
