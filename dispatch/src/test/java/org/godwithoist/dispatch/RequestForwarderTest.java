package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.RouteKind;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.catalog.WeightedService;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.forwarding.Forwarding;
import org.godwithoist.forwarding.ForwardingCounts;
import org.godwithoist.forwarding.ForwardingPeers;
import org.godwithoist.forwarding.TargetReach;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A daemon that may reach no target, and other daemons with scripted results. */
final class RequestForwarderTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");
    private static final long CATALOG_VERSION = 7;
    private static final int PEERS = 6;

    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final ForwardingCounts counts = new ForwardingCounts();
    private final ScriptedGateway gateway = new ScriptedGateway();
    private boolean targetsRespond;
    private final TargetReach reach =
            new TargetReach(
                    directory,
                    t -> targetsRespond,
                    EventLog.start(OutputStream.nullOutputStream()),
                    ticker,
                    new SplittableRandom(1));
    private final ForwardingPeers peers =
            new ForwardingPeers(DOMAIN, h -> false, ticker, new SplittableRandom(1));
    private final RequestForwarder forwarder =
            new RequestForwarder(
                    new RequestForwarder.Dependencies(
                            new Forwarding(reach, peers, counts),
                            gateway,
                            new StatedEnds(ticker),
                            new NoObserver(),
                            ticker));
    private final Route route =
            new Route(
                    new RouteId("r"),
                    "host",
                    "/",
                    RouteKind.NON_IDEMPOTENT,
                    false,
                    Duration.ofSeconds(2),
                    Duration.ofMillis(200),
                    Duration.ZERO,
                    0,
                    List.of(new WeightedService(SERVICE, 1)),
                    1,
                    true,
                    false);
    private final RetryPolicy policy = new RetryPolicy(route, OptionalLong.empty());

    private static final class ScriptedGateway implements TargetGateway {
        private final Deque<AttemptOutcome> outcomes = new ArrayDeque<>();
        private final List<Attempt> attempts = new ArrayList<>();

        @Override
        public AttemptResult attempt(Attempt attempt, CallerResponse response) {
            attempts.add(attempt);
            return AttemptResult.of(outcomes.remove(), OptionalLong.empty(), "");
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

    private static final class NoObserver implements RequestObserver {
        @Override
        public void attempted(
                Request request,
                Placement.Decision decision,
                AttemptResult result,
                Duration took) {}

        @Override
        public void ended(
                Request request,
                Optional<Route> ofRoute,
                Optional<Refusal> refusal,
                RequestOutcome outcome,
                Optional<ToldEnd> told,
                long sentBytes,
                int attempts,
                Duration took) {}
    }

    @BeforeEach
    void listTargetsAndPeers() {
        directory.put(
                new TargetEntry(
                        new TargetId("t"),
                        SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        DOMAIN,
                        1,
                        false,
                        Duration.ZERO,
                        0));
        peers.update(
                IntStream.range(0, PEERS)
                        .mapToObj(
                                i ->
                                        new ForwardingPeers.Peer(
                                                new HostId("edge-" + i),
                                                DOMAIN,
                                                new Endpoint("10.0.1." + i, 7341)))
                        .toList());
    }

    private void loseTargets() {
        targetsRespond = false;
        reach.check();
    }

    private Request request() {
        RequestHead head =
                new RequestHead(
                        new RequestId("id"),
                        "POST",
                        "/",
                        "host",
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        List.of());
        return new Request(head, RequestBody.EMPTY, false, ticker.nanos());
    }

    private RequestForwarder.Result forward(AttemptOutcome... outcomes) {
        gateway.outcomes.addAll(List.of(outcomes));
        ServiceSpec service =
                new ServiceSpec(SERVICE, 10, Duration.ZERO, 0, "/health", Optional.empty());
        Admission.AdmittedRequest admitted =
                new Admission.AdmittedRequest(route, service, Optional.empty(), 0, CATALOG_VERSION);
        Deadline deadline = Deadline.after(Duration.ofSeconds(2), ticker);
        return forwarder.forward(request(), admitted, policy, deadline, new UnusedResponse());
    }

    /** Response to a caller that stays; the scripted gateway sends nothing. */
    private static final class UnusedResponse implements CallerResponse {
        @Override
        public BegunResponse start(ResponseHead head) {
            throw new AssertionError("not used");
        }

        @Override
        public void abort() {
            throw new AssertionError("not used");
        }

        @Override
        public void refuse(Refusal refusal, Duration retryAfter) {
            throw new AssertionError("not used");
        }

        @Override
        public boolean started() {
            return false;
        }

        @Override
        public boolean statesEnd() {
            return false;
        }

        @Override
        public long sentBytes() {
            return 0;
        }

        @Override
        public boolean callerDisconnected() {
            return false;
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }

    @Nested
    final class OwnRequests {
        /** Guards against a detour while targets are in reach. */
        @Test
        void stayWhileATargetResponds() {
            targetsRespond = true;
            reach.check();
            assertFalse(forwarder.isDue(request(), policy));
        }

        /** Guards against requests that wait for connections to targets out of reach. */
        @Test
        void arePassedOnWhileNoTargetResponds() {
            loseTargets();
            assertTrue(forwarder.isDue(request(), policy));
            assertEquals(RequestForwarder.Result.ANSWERED, forward(AttemptOutcome.ANSWERED));
            Attempt attempt = gateway.attempts.get(0);
            assertEquals(Recipient.DAEMON, attempt.recipient());
            assertEquals(OptionalLong.of(CATALOG_VERSION), attempt.request().admittedBy());
        }

        /** Guards against a booking that runs at a target and once more through another daemon. */
        @Test
        void arePassedOnOnlyIfTheyCertainlyHaveNotRun() {
            loseTargets();
            AttemptResult lost = AttemptResult.of(AttemptOutcome.LOST, OptionalLong.empty(), "");
            policy.recordAttempt(directory.targets(SERVICE).get(0), lost);
            assertFalse(forwarder.isDue(request(), policy));
        }

        /**
         * Guards against a booking that is sent to a second daemon although the first may run it.
         */
        @Test
        void areNotPassedOnAgainAfterALostResponse() {
            loseTargets();
            assertEquals(RequestForwarder.Result.ENDED, forward(AttemptOutcome.LOST));
            assertEquals(1, gateway.attempts.size());
            assertFalse(policy.refusal().promisesNotRun());
        }

        /** Guards against daemons out of reach of all targets that ask each other without end. */
        @Test
        void reachFewDaemonsThatAllRefuse() {
            loseTargets();
            AttemptOutcome moved = AttemptOutcome.MOVED;
            assertEquals(RequestForwarder.Result.REFUSED, forward(moved, moved, moved));
            assertEquals(3, gateway.attempts.stream().map(Attempt::target).distinct().count());
            assertFalse(forwarder.isDue(request(), policy));
            assertFalse(policy.nextIsRetry(), "nothing has reached a target");
            assertTrue(policy.refusal().promisesNotRun());
        }
    }

    @Nested
    final class RequestsOfOtherDaemons {
        /** Guards against a request that circulates between daemons. */
        @Test
        void areNeverPassedOn() {
            loseTargets();
            assertFalse(forwarder.isDue(request().forwarded(1), policy));
        }

        /** Guards against a request that waits at a daemon that cannot send it to a target. */
        @Test
        void areRefusedWhileNoTargetResponds() {
            loseTargets();
            RefusedException refused =
                    assertThrows(
                            RefusedException.class,
                            () -> forwarder.checkForwarded(request().forwarded(1), 1));
            assertEquals(Refusal.OUT_OF_REACH, refused.refusal());
        }

        /**
         * Guards against a request that its daemon waits for although another one could take it.
         */
        @Test
        void areNotTriedAgainWhileNoTargetResponds() {
            assertFalse(forwarder.endsAttempts(request().forwarded(1), policy));
            loseTargets();
            assertTrue(forwarder.endsAttempts(request().forwarded(1), policy));
        }

        /** Guards against a request that is handled by a catalog older than its daemon's. */
        @Test
        void areRefusedByADaemonWithAnOlderCatalog() throws Exception {
            forwarder.checkForwarded(request().forwarded(5), 5);
            assertThrows(
                    RefusedException.class,
                    () -> forwarder.checkForwarded(request().forwarded(6), 5));
        }
    }
}
