package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.godwithoist.catalog.ApiKeys;
import org.godwithoist.catalog.Catalog;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.RequestLimits;
import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.RouteKind;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.catalog.WeightedService;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.forwarding.Forwarding;
import org.godwithoist.forwarding.ForwardingCounts;
import org.godwithoist.forwarding.ForwardingPeers;
import org.godwithoist.forwarding.TargetReach;
import org.godwithoist.overload.CapacityObserver;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.overload.OverloadLimits;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.targets.ColdLimit;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.LoadReport;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.RetryShare;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how the {@link Dispatcher} uses the overload control, with one target that has 2 slots. */
final class DispatcherCapacityTest {
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");
    private static final int SLOTS = 2;
    private static final Duration OBJECTIVE = Duration.ofMillis(400);
    private static final Duration TIMEOUT = Duration.ofSeconds(6);

    private final TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
    private final PeerLoads loads = new PeerLoads(Ticker.SYSTEM);
    private final CatalogState catalogs = new CatalogState();
    private final StubGateway gateway = new StubGateway();
    private final Outcomes outcomes = new Outcomes();
    private OverloadControl overload;
    private Dispatcher dispatcher;

    /** A target whose responses take until the test permits them. */
    private static final class StubGateway implements TargetGateway {
        private final Semaphore responses = new Semaphore(0);
        private final AtomicInteger attempts = new AtomicInteger();
        private volatile Attempt last;

        @Override
        public AttemptResult attempt(Attempt attempt, CallerResponse response) {
            attempts.incrementAndGet();
            last = attempt;
            responses.acquireUninterruptibly();
            return AttemptResult.of(AttemptOutcome.ANSWERED, OptionalLong.empty(), "");
        }

        @Override
        public boolean acceptsConnections(Target target) {
            return true;
        }

        @Override
        public boolean responds(Target target) {
            return true;
        }

        @Override
        public TargetPresence findPresence(Target target) {
            return TargetPresence.UNIDENTIFIED;
        }
    }

    private static final class Outcomes implements RequestObserver {
        private final List<RequestOutcome> ended = new ArrayList<>();
        private final List<Integer> attempts = new ArrayList<>();

        @Override
        public void attempted(
                Request request, Placement.Decision decision, AttemptResult result, Duration took) {
            // The gateway counts the attempts.
        }

        @Override
        public synchronized void ended(
                Request request,
                Optional<Route> route,
                Optional<Refusal> refusal,
                RequestOutcome outcome,
                Optional<ToldEnd> told,
                long sentBytes,
                int count,
                Duration took) {
            ended.add(outcome);
            attempts.add(count);
        }

        synchronized List<RequestOutcome> outcomes() {
            return List.copyOf(ended);
        }
    }

    /** Records the daemon's own response. */
    private static final class StubResponse implements CallerResponse {
        private volatile Refusal refusal;
        private volatile Duration retryAfter;
        private volatile boolean disconnected;
        private volatile boolean closedForMemory;
        private volatile Runnable disconnectAction;

        @Override
        public BegunResponse start(ResponseHead head) {
            return new BegunResponse() {
                @Override
                public void write(byte[] bytes, int from, int length) {}

                @Override
                public void finish() {}
            };
        }

        @Override
        public boolean closedForMemory() {
            return closedForMemory;
        }

        @Override
        public void abort() {}

        @Override
        public void refuse(Refusal because, Duration delay) {
            retryAfter = delay;
            refusal = because;
        }

        @Override
        public boolean started() {
            return false;
        }

        @Override
        public boolean statesEnd() {
            return true;
        }

        @Override
        public long sentBytes() {
            return 0;
        }

        @Override
        public boolean callerDisconnected() {
            return disconnected;
        }

        @Override
        public void onDisconnect(Runnable action) {
            disconnectAction = action;
        }

        void disconnect() {
            disconnected = true;
            Runnable action = disconnectAction;
            if (action != null) {
                action.run();
            }
        }
    }

    @BeforeEach
    void createDispatcher() {
        directory.put(
                new TargetEntry(
                        new TargetId("t"),
                        SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        DOMAIN,
                        SLOTS,
                        false,
                        Duration.ZERO,
                        1));
        catalogs.updateIfNewer(catalog());
        FleetShare share = new FleetShare(1, 0);
        overload =
                new OverloadControl(
                        new OverloadControl.Dependencies(
                                directory,
                                loads,
                                Set::of,
                                () -> share,
                                OverloadLimits.DEFAULT,
                                CapacityObserver.NONE,
                                Ticker.SYSTEM,
                                new SplittableRandom(1)));
        StartupGate gate = new StartupGate();
        gate.open();
        dispatcher =
                new Dispatcher(
                        new Dispatcher.Dependencies(
                                gate,
                                MemoryBudget.ofHeap(1 << 28),
                                catalogs,
                                directory,
                                new Placement(
                                        DOMAIN,
                                        () -> new ColdLimit(1, 0),
                                        loads,
                                        new SplittableRandom(1)),
                                overload,
                                new Quarantine(
                                        EventLog.start(OutputStream.nullOutputStream()),
                                        Ticker.SYSTEM),
                                gateway,
                                () -> share,
                                new RetryShares(
                                        Ticker.SYSTEM,
                                        () -> new RetryShare.Budget(1, Duration.ofSeconds(10), 9)),
                                Optional.empty(),
                                new UnknownOrigins(),
                                new Forwarding(
                                        new TargetReach(
                                                directory,
                                                gateway::responds,
                                                EventLog.start(OutputStream.nullOutputStream()),
                                                Ticker.SYSTEM,
                                                new SplittableRandom(1)),
                                        new ForwardingPeers(
                                                DOMAIN,
                                                h -> false,
                                                Ticker.SYSTEM,
                                                new SplittableRandom(1)),
                                        new ForwardingCounts()),
                                new ServingStatus(),
                                outcomes,
                                Ticker.SYSTEM,
                                new SplittableRandom(1)));
    }

    private static Catalog catalog() {
        Route route =
                new Route(
                        new RouteId("r"),
                        "host",
                        "/",
                        RouteKind.IDEMPOTENT,
                        false,
                        TIMEOUT,
                        OBJECTIVE,
                        Duration.ZERO,
                        0,
                        List.of(new WeightedService(SERVICE, 1)),
                        2,
                        true,
                        false);
        ServiceSpec service =
                new ServiceSpec(SERVICE, 100, Duration.ZERO, 0, "/health", Optional.empty());
        return new Catalog(
                1, List.of(route), List.of(service), ApiKeys.NOT_REQUIRED, RequestLimits.DEFAULT);
    }

    private StubResponse send(Duration callerTimeout) {
        StubResponse response = new StubResponse();
        RequestHead head =
                new RequestHead(
                        new RequestId("id"),
                        "GET",
                        "/",
                        "host",
                        Optional.of(callerTimeout),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        List.of());
        Request request = new Request(head, RequestBody.EMPTY, false, Ticker.SYSTEM.nanos());
        Tasks.start(
                "request",
                () -> {
                    try {
                        dispatcher.serve(request, response);
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        return response;
    }

    private Target target() {
        return directory.targets(SERVICE).get(0);
    }

    /** Fills the target and lets the control notice it. */
    private void fill() {
        for (int i = 0; i < SLOTS; i++) {
            send(TIMEOUT);
        }
        await(() -> gateway.attempts.get() == SLOTS);
        overload.refresh();
    }

    private int waiting() {
        return overload.statuses().stream().mapToInt(s -> s.waiting()).sum();
    }

    private static void await(BooleanSupplier condition) {
        for (int i = 0; i < 1000 && !condition.getAsBoolean(); i++) {
            Tasks.sleep(Duration.ofMillis(5));
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Scenario: a target is the only one of its service. */
    @Nested
    final class OnlyTarget {
        /** Guards against responses that are held back for a comparison that cannot be made. */
        @Test
        void attemptKnowsThatThereIsNoOther() {
            send(TIMEOUT);
            await(() -> gateway.last != null);
            assertFalse(gateway.last.hasOtherTarget());
        }
    }

    @Nested
    final class FullTargets {
        @BeforeEach
        void fillTargets() {
            target().recordLoad(new LoadReport(0, 0, SLOTS, OptionalInt.of(100)));
            fill();
        }

        /** Guards against a refusal as not run of a request that was sent to a target. */
        @Test
        void refusedRequestWasNotSent() {
            StubResponse response = send(TIMEOUT);
            await(() -> response.refusal != null);
            assertEquals(Refusal.NO_CAPACITY, response.refusal);
            assertTrue(response.refusal.promisesNotRun());
            assertEquals(SLOTS, gateway.attempts.get());
            assertEquals(List.of(0), outcomes.attempts);
        }

        /** Guards against delays that callers do not honour. */
        @Test
        void delayIsAtMostAThirdOfTheTimeLeft() {
            StubResponse response = send(Duration.ofMillis(300));
            await(() -> response.refusal != null);
            assertTrue(response.retryAfter.toMillis() <= 100, response.retryAfter.toString());
        }

        /** Guards against a free slot that a waiting request does not get. */
        @Test
        void waitingRequestGetsTheFreedSlot() {
            send(TIMEOUT);
            await(() -> waiting() == 1);
            gateway.responses.release();
            await(() -> gateway.attempts.get() == SLOTS + 1);
        }

        /** Guards against a log that blames the caller for a connection that the daemon closed. */
        @Test
        void connectionClosedForMemoryIsNoCallerWhoLeft() {
            StubResponse response = send(TIMEOUT);
            await(() -> waiting() == 1);
            response.closedForMemory = true;
            response.disconnect();
            await(() -> outcomes.outcomes().contains(RequestOutcome.CLOSED_FOR_MEMORY));
            assertFalse(outcomes.outcomes().contains(RequestOutcome.LEFT));
        }

        /** Guards against places of callers who have left, and requests sent for them. */
        @Test
        void callerWhoLeavesIsRemoved() {
            StubResponse response = send(TIMEOUT);
            await(() -> waiting() == 1);
            response.disconnect();
            await(() -> outcomes.outcomes().contains(RequestOutcome.LEFT));
            assertEquals(0, waiting());
            gateway.responses.release(SLOTS);
            await(() -> outcomes.outcomes().size() == SLOTS + 1);
            assertEquals(SLOTS, gateway.attempts.get());
        }

        /** Guards against a request that is held beyond its deadline. */
        @Test
        void requestIsRefusedByItsDeadline() {
            long start = Ticker.SYSTEM.nanos();
            StubResponse response = send(Duration.ofMillis(20));
            await(() -> response.refusal != null);
            long ms = (Ticker.SYSTEM.nanos() - start) / 1_000_000;
            assertTrue(ms < OBJECTIVE.toMillis(), ms + " ms");
            assertEquals(SLOTS, gateway.attempts.get());
        }

        /** Guards against slots that ended requests keep. */
        @Test
        void slotsAreReturned() {
            gateway.responses.release(SLOTS);
            await(() -> outcomes.outcomes().size() == SLOTS);
            await(() -> overload.statuses().get(0).inProgress() == 0);
        }
    }

    @Nested
    final class FeatureOff {
        /** Guards against limits for services whose targets do not report the work time. */
        @Test
        void requestsToFullTargetsAreSent() {
            target().recordLoad(new LoadReport(0, 0, SLOTS));
            fill();
            send(TIMEOUT);
            await(() -> gateway.attempts.get() == SLOTS + 1);
            assertEquals(0, overload.statuses().get(0).inProgress());
        }

        /** Guards against another answer than before where no target may get the request. */
        @Test
        void pausedTargetsAreToldAsBefore() {
            target().pauseFor(Duration.ofSeconds(1));
            StubResponse response = send(TIMEOUT);
            await(() -> response.refusal != null);
            assertEquals(Refusal.TARGETS_PAUSED, response.refusal);
        }
    }

    @Nested
    final class FreeTargets {
        /** Guards against a wait on an idle service. */
        @Test
        void requestIsSentAtOnce() {
            target().recordLoad(new LoadReport(0, 0, SLOTS, OptionalInt.of(250)));
            gateway.responses.release(1);
            send(TIMEOUT);
            await(() -> outcomes.outcomes().contains(RequestOutcome.ANSWERED));
            assertEquals(0, waiting());
        }

        /** Guards against limits while targets are ruled out for another reason. */
        @Test
        void pausedTargetsAreToldAsBefore() {
            target().recordLoad(new LoadReport(0, 0, SLOTS, OptionalInt.of(100)));
            target().pauseFor(Duration.ofSeconds(1));
            StubResponse response = send(TIMEOUT);
            await(() -> response.refusal != null);
            assertEquals(Refusal.TARGETS_PAUSED, response.refusal);
        }
    }
}
