package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlacementTest {
    private static final int TARGETS = 6;
    private static final PromptPrefix HOT_PREFIX = prefix("hot");

    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final PeerLoads peers = new PeerLoads(ticker);
    private final Placement placement =
            new Placement(
                    Samples.NORTH, () -> new ColdLimit(1.5, 2), peers, new SplittableRandom(3));

    @BeforeEach
    void readInitialList() {
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            entries.add(Samples.entry(i));
        }
        directory.replaceAll(entries);
    }

    private static PromptPrefix prefix(String text) {
        return new PromptPrefix(PrefixKey.of(text), 1000, List.of(), PrefixKey.of(text));
    }

    private Optional<Placement.Decision> place(
            PromptPrefix prefix, Set<FailureDomainId> outOfService) {
        return place(Optional.of(prefix), Set.of(), outOfService);
    }

    private Optional<Placement.Decision> place(
            Optional<PromptPrefix> prefix, Set<TargetId> tried, Set<FailureDomainId> outOfService) {
        PlacementRequest request =
                new PlacementRequest(Samples.models(), prefix, tried, outOfService, Samples.ALONE);
        return placement.place(request, directory.targets(Samples.MODELS));
    }

    private Target placeAndEnd(PromptPrefix prefix) {
        Target target = place(prefix, Set.of()).orElseThrow().target();
        target.end(Verdict.GOOD);
        return target;
    }

    @Nested
    final class ReturningChats {
        /** Guards against a prefix that several engines process under low load. */
        @Test
        void requestsWithTheSamePrefixGoToOneEngine() {
            Target first = placeAndEnd(HOT_PREFIX);
            for (int i = 0; i < 50; i++) {
                assertEquals(first, placeAndEnd(HOT_PREFIX));
            }
        }

        /** Guards against remapping keys when an engine is lost that they do not map to. */
        @Test
        void lossOfAnEngineRemapsOnlyItsKeys() {
            List<Target> before = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                before.add(placeAndEnd(prefix("chat-" + i)));
            }
            Target lost = before.get(0);
            directory.remove(lost.id());
            for (int i = 0; i < 100; i++) {
                Target after = placeAndEnd(prefix("chat-" + i));
                if (before.get(i) != lost) {
                    assertEquals(before.get(i), after);
                }
            }
        }
    }

    /** Scenario: engines are lost, replaced or drained ({@code srv_crash}, {@code release}). */
    @Nested
    final class CachingEngines {
        private Placement.Decision placeAndRecordCachedPrefix() {
            Placement.Decision decision = place(HOT_PREFIX, Set.of()).orElseThrow();
            decision.target().recordCachedPrefix(HOT_PREFIX.key());
            return decision;
        }

        /** Guards against processing a prefix again although a known engine has it cached. */
        @Test
        void knownCachingEngineIsReturnedWhereverTheKeyMapsTo() {
            Target first = placeAndRecordCachedPrefix().target();
            first.end(Verdict.GOOD);
            Target cachingEngine =
                    directory.targets(Samples.MODELS).stream()
                            .filter(t -> t != first)
                            .findFirst()
                            .orElseThrow();
            cachingEngine.recordPeerCachedPrefix(HOT_PREFIX.key());
            directory.remove(first.id());
            Placement.Decision next = place(HOT_PREFIX, Set.of()).orElseThrow();
            if (next.target() != cachingEngine) {
                assertEquals(Optional.of(cachingEngine), next.cachingEngine());
            }
            next.target().recordCachedPrefix(HOT_PREFIX.key());
            next.target().end(Verdict.GOOD);
            Placement.Decision after = place(HOT_PREFIX, Set.of()).orElseThrow();
            assertEquals(next.target(), after.target());
            assertTrue(after.cachingEngine().isEmpty());
        }

        /** Guards against a prefix that a restarted daemon cannot find. */
        @Test
        void requestsStayAtTheEngineThatTheKeyMapsTo() {
            Target first = placeAndRecordCachedPrefix().target();
            first.end(Verdict.GOOD);
            directory.targets(Samples.MODELS).stream()
                    .filter(t -> t != first)
                    .forEach(t -> t.recordPeerCachedPrefix(HOT_PREFIX.key()));
            assertEquals(first, place(HOT_PREFIX, Set.of()).orElseThrow().target());
        }

        /** Guards against importing a prefix from an engine that lost it in a restart. */
        @Test
        void restartOfTheEngineClearsItsPrefixes() {
            Target first = placeAndRecordCachedPrefix().target();
            int number = Integer.parseInt(first.id().value().substring("target-".length()));
            directory.put(Samples.restarted(number));
            assertTrue(
                    directory.targets(Samples.MODELS).stream()
                            .noneMatch(t -> t.hasCachedPrefix(HOT_PREFIX.key())));
        }

        /** Guards against importing a prefix that the engine evicted long ago. */
        @Test
        void unusedPrefixExpires() {
            Target first = placeAndRecordCachedPrefix().target();
            ticker.advance(Duration.ofMinutes(2));
            assertTrue(!first.hasCachedPrefix(HOT_PREFIX.key()));
        }
    }

    /** Scenario: one key gets much of the traffic ({@code hot_key}). */
    @Nested
    final class HotKey {
        /** Guards against an engine that carries far more than the mean load of its service. */
        @Test
        void requestsBeyondTheSkewBoundGoToTheNextEngineOfTheKey() {
            Set<Target> used = new HashSet<>();
            for (int i = 0; i < 4; i++) {
                used.add(place(HOT_PREFIX, Set.of()).orElseThrow().target());
            }
            assertEquals(2, used.size());
        }

        /**
         * Guards against processing a prefix again although the engine that was passed over has it
         * cached.
         */
        @Test
        void passedOverEngineIsReturnedAsCachingEngine() {
            Target first = place(HOT_PREFIX, Set.of()).orElseThrow().target();
            Placement.Decision next = place(HOT_PREFIX, Set.of()).orElseThrow();
            while (next.target() == first) {
                next = place(HOT_PREFIX, Set.of()).orElseThrow();
            }
            assertEquals(Optional.of(first), next.cachingEngine());
        }

        /** Guards against sending all requests to the engine whose load is unknown. */
        @Test
        void engineWithoutARecentReportCountsAsAverage() {
            for (Target t : directory.targets(Samples.MODELS)) {
                t.recordLoad(new LoadReport(6, 0, 8));
            }
            Target first = placeAndEnd(HOT_PREFIX);
            ticker.advance(Duration.ofMillis(1900));
            for (Target t : directory.targets(Samples.MODELS)) {
                if (t != first) {
                    t.recordLoad(new LoadReport(6, 0, 8));
                }
            }
            assertEquals(first, placeAndEnd(HOT_PREFIX));
        }
    }

    /** Scenario: a target is many times slower than the others ({@code srv_slow}). */
    @Nested
    final class SlowEngine {
        /**
         * Guards against requests that wait at a slow engine because it has their prefix cached.
         */
        @Test
        void requestsGoToTheNextEngineWhileAResponseIsOverdue() {
            Target slow = placeAndEnd(HOT_PREFIX);
            Target.PendingResponse pending = slow.startWaiting();
            ticker.advance(Duration.ofMillis(301));
            assertNotEquals(slow, placeAndEnd(HOT_PREFIX));
            slow.responseStarted(pending);
            ticker.advance(Duration.ofMillis(1500));
            assertEquals(slow, placeAndEnd(HOT_PREFIX));
        }
    }

    /** Scenario: targets are replaced one after the other ({@code release}, {@code scale_out}). */
    @Nested
    final class ReplacedEngines {
        /** Guards against a new engine processing a prefix that a draining engine has cached. */
        @Test
        void drainingEngineIsReturnedAsCachingEngine() {
            Target first = placeAndEnd(HOT_PREFIX);
            int number = Integer.parseInt(first.id().value().substring("target-".length()));
            directory.put(Samples.draining(number));
            Placement.Decision next = place(HOT_PREFIX, Set.of()).orElseThrow();
            assertNotEquals(first, next.target());
            assertEquals(Optional.of(first), next.cachingEngine());
        }

        /** Guards against a burst of requests that crashes a cold engine. */
        @Test
        void coldEngineGetsOnlyItsShare() {
            directory.replaceAll(List.of(Samples.cold(0, Duration.ofSeconds(3))));
            int sent = 0;
            while (place(HOT_PREFIX, Set.of()).isPresent()) {
                sent++;
            }
            assertEquals((int) (Samples.COLD_PER_SECOND * 1.5 + 2) - 1, sent);
            ticker.advance(Duration.ofSeconds(1));
            assertTrue(place(HOT_PREFIX, Set.of()).isPresent());
        }
    }

    /**
     * Scenario: a failure domain is taken out of service and callers retry ({@code evacuate},
     * {@code retry_abuse}).
     */
    @Nested
    final class DomainOutOfService {
        /** Returns the requests of all daemons at a target, estimated from its load reports. */
        private int load(Target target) {
            Target.OtherRequests others = target.otherRequests();
            return target.inFlight() + (int) Math.round(others.requests() * others.weight());
        }

        /**
         * Guards against an engine with over twice the mean load of all listed engines, which
         * include the empty ones out of service. Seen on bench-ops, fault day empty-zone-and-reuse
         * with seed 194842900725: rule LIMIT violated by 22 of 238 requests.
         */
        @Test
        void emptyEnginesOutOfServiceLowerTheBound() {
            for (Target t : directory.targets(Samples.MODELS)) {
                boolean outOfService = t.entry().domain().equals(Samples.SOUTH);
                t.recordLoad(new LoadReport(outOfService ? 0 : 12, 0, 64));
            }
            Set<FailureDomainId> outOfService = Set.of(Samples.SOUTH);
            Target first = place(HOT_PREFIX, outOfService).orElseThrow().target();
            int load = load(first);
            while (place(HOT_PREFIX, outOfService).orElseThrow().target() == first) {
                load = load(first);
            }
            List<Target> all = directory.targets(Samples.MODELS);
            double mean = all.stream().mapToInt(t -> load(t)).average().orElseThrow();
            assertTrue(load <= 2 * mean + 3, "load: " + load + ", mean: " + mean);
        }
    }

    /** Scenario: a failure domain is taken out of service ({@code evacuate}) while targets fail. */
    @Nested
    final class UnavailableTargets {
        /** Guards against requests to a failure domain that is out of service. */
        @Test
        void domainOutOfServiceGetsNoRequests() {
            for (int i = 0; i < 40; i++) {
                Placement.Decision decision =
                        place(prefix("c" + i), Set.of(Samples.SOUTH)).orElseThrow();
                assertEquals(Samples.NORTH, decision.target().entry().domain());
            }
            assertTrue(place(HOT_PREFIX, Set.of(Samples.SOUTH, Samples.NORTH)).isEmpty());
        }

        /** Guards against retrying a request at the target that failed it. */
        @Test
        void triedTargetIsExcluded() {
            Target first = placeAndEnd(HOT_PREFIX);
            Placement.Decision next =
                    place(Optional.of(HOT_PREFIX), Set.of(first.id()), Set.of()).orElseThrow();
            assertNotEquals(first, next.target());
        }

        /** Guards against requests to an unreachable target while others are reachable. */
        @Test
        void unreachableTargetIsEjected() {
            Target first = place(HOT_PREFIX, Set.of()).orElseThrow().target();
            first.end(Verdict.UNREACHABLE);
            assertNotEquals(first, placeAndEnd(HOT_PREFIX));
        }

        /** Guards against rejecting all requests when every target has failed. */
        @Test
        void ejectedTargetsAreUsedIfThereIsNoOther() {
            for (int i = 0; i < TARGETS; i++) {
                place(HOT_PREFIX, Set.of()).orElseThrow().target().end(Verdict.UNREACHABLE);
            }
            assertTrue(place(HOT_PREFIX, Set.of()).isPresent());
        }
    }

    @Nested
    final class RequestsWithoutPrompt {
        private static final Duration FAST = Duration.ofMillis(8);
        private static final Duration SLOW = Duration.ofMillis(200);
        private static final int ROUNDS = 12;

        private Target place() {
            return PlacementTest.this
                    .place(Optional.empty(), Set.of(), Set.of())
                    .orElseThrow()
                    .target();
        }

        private void respond(Target target, Duration latency) {
            Target.PendingResponse pending = target.startWaiting();
            ticker.advance(latency);
            target.responseStarted(pending);
        }

        /** Sends a request each 100 ms and returns how many of them a target got. */
        private int requestsWithin(Duration time, Target watched, Duration latency) {
            int requests = 0;
            for (long ms = 0; ms < time.toMillis(); ms += 100) {
                Target t = place();
                requests += t == watched ? 1 : 0;
                respond(t, t == watched ? latency : FAST);
                t.end(Verdict.GOOD);
                ticker.advance(Duration.ofMillis(100).minus(FAST));
            }
            return requests;
        }

        /** Guards against requests that queue at a slow target while a fast one is free. */
        @Test
        void slowTargetGetsNoRequests() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            Map<Target, Target.PendingResponse> pending = new HashMap<>();
            targets.forEach(t -> pending.put(t, t.startWaiting()));
            ticker.advance(Duration.ofMillis(20));
            targets.stream().filter(t -> t != slow).forEach(t -> t.responseStarted(pending.get(t)));
            ticker.advance(Duration.ofMillis(400));
            slow.responseStarted(pending.get(slow));
            for (int i = 0; i < 40; i++) {
                Target t = place();
                assertNotEquals(slow, t);
                t.end(Verdict.GOOD);
            }
        }

        /**
         * Guards against a target that never gets a request, because the others respond faster than
         * one without a response is assumed to. Seen in SecondCopyTest: one of three targets got
         * none of 240 requests.
         */
        @Test
        void targetsThatHaveNotRespondedAreAsked() {
            Set<Target> asked = new HashSet<>();
            for (int i = 0; i < ROUNDS; i++) {
                List<Target> round = new ArrayList<>();
                for (int k = 0; k < TARGETS; k++) {
                    round.add(place());
                }
                round.forEach(t -> respond(t, FAST));
                round.forEach(t -> t.end(Verdict.GOOD));
                asked.addAll(round);
            }
            assertEquals(Set.copyOf(directory.targets(Samples.MODELS)), asked);
        }

        /**
         * Guards against a target that one slow response, such as its first, rules out for good.
         */
        @Test
        void targetWithOneSlowResponseIsAskedAgain() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slowOnce = targets.get(0);
            targets.forEach(t -> respond(t, t == slowOnce ? SLOW : FAST));
            assertEquals(0, requestsWithin(Duration.ofMillis(900), slowOnce, FAST));
            assertTrue(requestsWithin(Duration.ofMillis(1100), slowOnce, FAST) > 0, "not asked");
            int later = requestsWithin(Duration.ofSeconds(30), slowOnce, FAST);
            assertTrue(later >= 300 / TARGETS / 2, "requests of 300: " + later);
        }

        /**
         * Guards against a target in use that one slow response rules out for long. Seen in
         * SecondCopyTest: a target that had run 2,274 requests got none of 661 within 10 s.
         */
        @Test
        void targetInUseWithOneSlowResponseIsAskedAgain() {
            Target slowOnce = directory.targets(Samples.MODELS).get(0);
            requestsWithin(Duration.ofSeconds(30), slowOnce, FAST);
            respond(slowOnce, SLOW);
            assertTrue(requestsWithin(Duration.ofSeconds(2), slowOnce, FAST) > 0, "not asked");
        }

        /** Guards against a slow target that is asked as often as one that was slow once. */
        @Test
        void probesOfATargetThatStaysSlowBecomeRare() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            int first = requestsWithin(Duration.ofSeconds(2), slow, SLOW);
            assertEquals(1, first);
            int next = requestsWithin(Duration.ofSeconds(14), slow, SLOW);
            assertTrue(next >= 1 && next <= 3, "requests of 140: " + next);
        }

        /** Guards against several requests at once as probes of a slow target. */
        @Test
        void oneOfTheRequestsPlacedAtOnceIsAProbe() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            ticker.advance(Duration.ofMillis(1500));
            int probes = 0;
            for (int i = 0; i < 3 * ROUNDS; i++) {
                probes += place() == slow ? 1 : 0;
            }
            assertEquals(1, probes);
        }

        /**
         * Guards against many probes of a slow target by the daemons of a large fleet, each of
         * which has few requests.
         */
        @Test
        void fewRequestsContainNoProbe() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            for (int i = 0; i < ROUNDS; i++) {
                ticker.advance(Duration.ofMillis(500));
                assertNotEquals(slow, place());
            }
        }

        /** Guards against a probe of a target that has no free slot. */
        @Test
        void targetWithoutAFreeSlotGetsNoProbe() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            ticker.advance(Duration.ofMillis(1500));
            int slots = slow.entry().slots();
            targets.forEach(t -> t.recordLoad(new LoadReport(t == slow ? slots : 0, 0, slots)));
            for (int i = 0; i < 3 * ROUNDS; i++) {
                assertNotEquals(slow, place());
            }
        }

        /** Guards against a probe that exceeds the rate permitted at a cold target. */
        @Test
        void coldTargetGetsNoProbeBeyondItsShare() {
            directory.replaceAll(
                    List.of(Samples.cold(0, Duration.ofSeconds(30)), Samples.entry(1)));
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            ticker.advance(Duration.ofMillis(1500));
            int perSecond = (int) (2 * Samples.COLD_PER_SECOND);
            while (slow.tryBegin(perSecond, Samples.ALONE, peers.view(), false)) {
                slow.end(Verdict.GOOD);
            }
            for (int i = 0; i < 3 * ROUNDS; i++) {
                assertNotEquals(slow, place());
            }
        }

        /** Guards against a slow target that is tried again too often. */
        @Test
        void targetThatStaysSlowGetsFewRequests() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            int requests = requestsWithin(Duration.ofMinutes(5), slow, SLOW);
            assertTrue(requests <= 20, "requests of 3,000: " + requests);
        }

        /** Guards against further requests to a slow target that is tried and does not respond. */
        @Test
        void slowTargetGetsOneRequestWhileItIsTried() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            targets.forEach(t -> respond(t, t == slow ? SLOW : FAST));
            ticker.advance(Duration.ofSeconds(30));
            slow.startWaiting();
            assertEquals(0, requestsWithin(Duration.ofSeconds(5), slow, SLOW));
        }
    }

    /** Scenario: targets announce that they leave, or ask for a pause with a rejection. */
    @Nested
    final class TargetsThatWantNoRequests {
        private Optional<Duration> shortestWait() {
            PlacementRequest request =
                    new PlacementRequest(
                            Samples.models(),
                            Optional.of(HOT_PREFIX),
                            Set.of(),
                            Set.of(),
                            Samples.ALONE);
            return placement.shortestWait(request, directory.targets(Samples.MODELS));
        }

        private void pauseAll(Duration time) {
            directory.targets(Samples.MODELS).forEach(t -> t.pauseFor(time));
        }

        /** Guards against new requests to a leaving target that its prefix still maps to. */
        @Test
        void leavingTargetGetsNothing() {
            Target left = placeAndEnd(HOT_PREFIX);
            directory.recordLeaving(left);
            for (int i = 0; i < 50; i++) {
                assertNotEquals(left, placeAndEnd(HOT_PREFIX));
            }
        }

        /** Guards against requests within the pause, and against a pause that does not end. */
        @Test
        void pausedTargetGetsNothingUntilThePauseEnds() {
            Target paused = placeAndEnd(HOT_PREFIX);
            paused.pauseFor(Duration.ofSeconds(3));
            ticker.advance(Duration.ofMillis(2999));
            assertNotEquals(paused, placeAndEnd(HOT_PREFIX));
            assertEquals(1, place(HOT_PREFIX, Set.of()).orElseThrow().reason().paused());
            ticker.advance(Duration.ofMillis(1));
            assertEquals(paused, placeAndEnd(HOT_PREFIX));
        }

        /** Guards against a shorter pause that ends a longer one early. */
        @Test
        void longestPauseCounts() {
            Target paused = placeAndEnd(HOT_PREFIX);
            paused.pauseFor(Duration.ofSeconds(3));
            paused.pauseFor(Duration.ofSeconds(1));
            assertEquals(Duration.ofSeconds(3), paused.remainingPause());
        }

        /** Guards against an absurd value that takes a target out of service for years. */
        @Test
        void pauseIsLimited() {
            Target paused = placeAndEnd(HOT_PREFIX);
            paused.pauseFor(Duration.ofDays(100_000));
            assertEquals(RequestPause.MAX_PAUSE, paused.remainingPause());
        }

        /** Guards against requests to paused targets because every other one is ejected. */
        @Test
        void pausedTargetsAreNotAFallback() {
            pauseAll(Duration.ofSeconds(1));
            assertTrue(place(HOT_PREFIX, Set.of()).isEmpty());
        }

        /** Guards against a caller that waits for targets that will not accept its request. */
        @Test
        void shortestPauseIsKnownOnlyIfAllTargetsPause() {
            assertTrue(shortestWait().isEmpty());
            pauseAll(Duration.ofSeconds(5));
            assertEquals(Optional.of(Duration.ofSeconds(5)), shortestWait());
            directory.recordLeaving(directory.targets(Samples.MODELS).get(0));
            assertEquals(Optional.of(Duration.ofSeconds(5)), shortestWait());
            ticker.advance(Duration.ofSeconds(5));
            assertTrue(shortestWait().isEmpty());
        }
    }

    /** Scenario: engines limit the requests of all daemons. */
    @Nested
    final class RateLimitedEngines {
        private static final LimitStatement<RateLimit> LIMIT =
                LimitStatement.of(new RateLimit(250));

        /** Guards against an ejected target that gets requests beyond its limit. */
        @Test
        void limitHoldsAsALastResort() {
            List<Target> listed = directory.targets(Samples.MODELS);
            listed.forEach(t -> t.limits().recordRate(LIMIT, 0));
            int placed = 0;
            for (int i = 0; i < 400; i++) {
                Optional<Placement.Decision> decision = place(HOT_PREFIX, Set.of());
                placed += decision.isPresent() ? 1 : 0;
                decision.ifPresent(d -> d.target().end(Verdict.UNREACHABLE));
                ticker.advance(Duration.ofMillis(10));
            }
            assertTrue(placed <= 5 * TARGETS, "requests in 4 s: " + placed);
        }

        /** Guards against callers that are told to come back before a target takes requests. */
        @Test
        void waitIsThatOfTheFirstTargetWithAPermit() {
            List<Target> listed = directory.targets(Samples.MODELS);
            listed.forEach(t -> t.limits().recordRate(LIMIT, 0));
            listed.get(0).pauseFor(Duration.ofSeconds(2));
            listed.stream().skip(1).forEach(t -> t.pauseFor(Duration.ofSeconds(3)));
            PlacementRequest request =
                    new PlacementRequest(
                            Samples.models(),
                            Optional.of(HOT_PREFIX),
                            Set.of(),
                            Set.of(),
                            Samples.ALONE);
            assertEquals(
                    Optional.of(Duration.ofSeconds(2)), placement.shortestWait(request, listed));
        }
    }
}
