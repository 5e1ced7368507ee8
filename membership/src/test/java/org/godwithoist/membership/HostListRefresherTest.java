package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostEntry.State;
import org.godwithoist.store.fake.FakeHostList;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Four daemons in each of two failure domains, in virtual time. A pull takes no time unless it is
 * lost.
 */
class HostListRefresherTest {
    private static final Duration PULL_TIMEOUT = Duration.ofMillis(500);

    private final VirtualTicker ticker = new VirtualTicker();
    private final FakeHostList platform = new FakeHostList();
    private final Set<HostId> unresponsive = new HashSet<>();
    private final Set<HostId> lost = new HashSet<>();
    private final Map<HostId, HostListMessage.Response> forged = new HashMap<>();
    private final Map<HostId, TestNode> nodes = new HashMap<>();
    private final List<Member> all = IntStream.range(0, 8).mapToObj(n -> member(n)).toList();
    private TestNode reader;
    private TestNode secondReader;
    private TestNode puller;

    private final class TestNode {
        private final HostId host;
        private final HostListState state = new HostListState(ticker);
        private final HostListSources sources;
        private final HostListRefresher refresher;

        private TestNode(Member self) {
            this.host = self.host();
            sources = new HostListSources(new ListedMembers(self, all, unresponsive, Set.of()));
            refresher =
                    new HostListRefresher(
                            state,
                            sources,
                            platform,
                            MembershipConfig.DEFAULT,
                            ticker,
                            new SplittableRandom(1),
                            h -> {});
        }

        private List<HostEntry> list() {
            return state.current().orElseThrow().copy().entries();
        }

        private void runRound() {
            refresher.runRound(HostListRefresherTest.this::pull);
        }

        private long count(HostListResult result) {
            return refresher.count(result);
        }
    }

    private static Member member(int n) {
        var domain = new FailureDomainId("d" + n % 2);
        return new Member(new HostId("h" + n), domain, new Endpoint("127.0.0.1", 9), 1);
    }

    private static HostEntry engine(int n, State state) {
        return TestDaemon.engine(n, "p", "d", state);
    }

    private CompletableFuture<HostListMessage.Response> pull(
            HostId peer, HostListMessage.Request request, Duration timeout) {
        if (lost.contains(peer)) {
            ticker.advance(timeout);
            return CompletableFuture.failedFuture(new TimeoutException());
        }
        return CompletableFuture.completedFuture(
                forged.containsKey(peer)
                        ? forged.get(peer)
                        : nodes.get(peer).state.respond(request));
    }

    @BeforeEach
    void start() {
        listEngineAs(State.LIVE);
        all.forEach(m -> nodes.put(m.host(), new TestNode(m)));
        advanceOneSecond();
        puller = nodes.values().stream().filter(n -> !n.sources.isReader()).findFirst().get();
        List<HostId> sources = puller.sources.sources(true);
        reader = nodes.get(sources.get(0));
        secondReader = nodes.get(sources.get(1));
        puller.runRound();
    }

    private Member memberOf(TestNode node) {
        return all.stream().filter(m -> m.host().equals(node.host)).findFirst().orElseThrow();
    }

    private void listEngineAs(State state) {
        platform.set(List.of(engine(1, state), engine(2, State.LIVE)));
    }

    private void advanceOneSecond() {
        ticker.advance(Duration.ofSeconds(1));
        nodes.values().stream().filter(n -> n.sources.isReader()).forEach(TestNode::runRound);
    }

    private long reads() {
        return nodes.values().stream()
                .mapToLong(n -> n.count(HostListResult.READ) + n.count(HostListResult.READ_FAILED))
                .sum();
    }

    private boolean isLeaving(TestNode node) {
        return node.list().contains(engine(1, State.LEAVING));
    }

    @Nested
    class NormalOperation {
        /** Guards against a change that does not reach a daemon within two intervals. */
        @Test
        void changeReachesAPullerAsADifference() {
            listEngineAs(State.LEAVING);
            advanceOneSecond();
            puller.runRound();
            assertTrue(isLeaving(puller));
            assertEquals(1, puller.count(HostListResult.CHANGES));
            assertEquals(0, puller.count(HostListResult.READ));
        }
    }

    @Nested
    class Readers {
        /** Guards against a crashed or paused reader that delays a change beyond 3 s. */
        @Test
        void unavailableReaderIsReplacedInTheSameRound() {
            lost.add(reader.host);
            listEngineAs(State.LEAVING);
            advanceOneSecond();
            long before = ticker.nanos();
            puller.runRound();
            assertTrue(isLeaving(puller));
            assertEquals(PULL_TIMEOUT.toNanos(), ticker.nanos() - before);
            // The next rounds do not wait for the unavailable reader again.
            advanceOneSecond();
            before = ticker.nanos();
            puller.runRound();
            assertEquals(before, ticker.nanos());
        }

        /** Guards against a failure domain without updates while its readers are unavailable. */
        @Test
        void readerOfAnotherDomainIsTheThirdSource() {
            lost.addAll(Set.of(reader.host, secondReader.host));
            listEngineAs(State.LEAVING);
            advanceOneSecond();
            puller.runRound();
            assertTrue(isLeaving(puller));
            assertEquals(0, puller.count(HostListResult.READ));
        }

        /** Guards against a reader that responds with an old list, as after a pause. */
        @Test
        void readerWithAStaleListIsSkipped() {
            ticker.advance(Duration.ofSeconds(3));
            listEngineAs(State.LEAVING);
            nodes.get(secondReader.host).runRound();
            puller.runRound();
            assertTrue(isLeaving(puller));
        }

        /** Guards against a daemon that keeps waiting for peers. */
        @Test
        void platformIsReadWhenNoPeerResponds() {
            nodes.keySet().forEach(lost::add);
            listEngineAs(State.LEAVING);
            for (int i = 0; i < 4 && !isLeaving(puller); i++) {
                ticker.advance(Duration.ofSeconds(1));
                puller.runRound();
            }
            assertTrue(isLeaving(puller));
        }
    }

    @Nested
    class LostResponses {
        /** Guards against a lost response after which the next difference has the wrong base. */
        @Test
        void nextPullStartsFromTheCopyOfTheSender() {
            listEngineAs(State.LEAVING);
            advanceOneSecond();
            // The response is computed but lost.
            reader.state.respond(
                    HostListMessage.Request.changesSince(
                            puller.state.current().map(h -> h.copy().digest())));
            platform.set(List.of(engine(3, State.LIVE)));
            advanceOneSecond();
            puller.runRound();
            assertEquals(reader.list(), puller.list());
        }
    }

    @Nested
    class Pages {
        /** Guards against a daemon with an unknown digest that never gets the complete list. */
        @Test
        void unknownDigestLeadsToTheCompleteList() {
            List<HostEntry> many =
                    IntStream.range(0, 2_500).mapToObj(n -> engine(n, State.LIVE)).toList();
            platform.set(many);
            long before = puller.count(HostListResult.WHOLE);
            advanceOneSecond();
            puller.runRound();
            assertEquals(reader.list(), puller.list());
            assertEquals(before + 1, puller.count(HostListResult.WHOLE));
        }
    }

    @Nested
    class Malformed {
        /** Otherwise the puller would read the list from the platform. */
        @BeforeEach
        void stopPlatform() {
            platform.setFault(StoreFault.DOWN);
        }

        private void assertNoEffect(HostListMessage.Content content) {
            advanceOneSecond();
            List<HostEntry> before = puller.list();
            var age = new HostListMessage.Age(Duration.ofMillis(1), Duration.ZERO);
            var response = new HostListMessage.Response(age, Optional.of(content));
            nodes.keySet().forEach(h -> forged.put(h, response));
            long failures = puller.count(HostListResult.PULL_FAILED);
            puller.runRound();
            assertEquals(before, puller.list());
            assertTrue(puller.count(HostListResult.PULL_FAILED) > failures);
        }

        /**
         * Guards against changes for another base, which would produce a list that no daemon has.
         */
        @Test
        void changesWithAWrongDigestHaveNoEffect() {
            var one = new HostListCopy.Changes(List.of(engine(9, State.LIVE)), List.of());
            ticker.advance(Duration.ofSeconds(2));
            assertNoEffect(new HostListMessage.Changed(7, one));
        }

        /** Guards against pages that never end, are inconsistent or exhaust the memory. */
        @Test
        void inconsistentPagesHaveNoEffect() {
            List<HostEntry> one = List.of(engine(9, State.LIVE));
            ticker.advance(Duration.ofSeconds(2));
            for (var page :
                    List.of(
                            new HostListMessage.Page(7, 0, 5, List.of()),
                            new HostListMessage.Page(7, 1, 5, one),
                            new HostListMessage.Page(7, 0, -1, one),
                            new HostListMessage.Page(7, 0, Integer.MAX_VALUE, one),
                            new HostListMessage.Page(7, 0, 1, one))) {
                assertNoEffect(page);
            }
        }
    }

    @Nested
    class PlatformDown {
        @BeforeEach
        void stopPlatform() {
            platform.setFault(StoreFault.DOWN);
        }

        /** Guards against a dropped list, and against concurrent reads of all daemons. */
        @Test
        void lastListIsKeptAndReadsAreLimited() {
            List<HostEntry> before = puller.list();
            long reads = reads();
            for (int i = 0; i < 600; i++) {
                advanceOneSecond();
                puller.runRound();
            }
            assertEquals(before, puller.list());
            long own = puller.count(HostListResult.READ_FAILED);
            assertTrue(own <= 35, own + " reads in 600 s by a daemon that is not a reader");
            // Four readers, each with one read per second.
            assertEquals(4 * 600 + own, reads() - reads);
            platform.setFault(StoreFault.NONE);
            listEngineAs(State.LEAVING);
            advanceOneSecond();
            puller.runRound();
            assertTrue(isLeaving(puller));
        }

        /** Guards against a newly started daemon without targets during an outage. */
        @Test
        void newDaemonGetsTheOldListFromAPeer() {
            ticker.advance(Duration.ofHours(1));
            List<TestNode> started = new ArrayList<>();
            for (TestNode n : List.of(reader, puller)) {
                started.add(new TestNode(memberOf(n)));
            }
            started.forEach(TestNode::runRound);
            for (TestNode n : started) {
                assertEquals(secondReader.list(), n.list());
                assertFalse(n.state.age().orElseThrow().compareTo(Duration.ofHours(1)) < 0);
            }
        }
    }
}
