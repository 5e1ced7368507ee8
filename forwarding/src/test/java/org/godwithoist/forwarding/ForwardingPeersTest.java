package org.godwithoist.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.Verdict;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ForwardingPeersTest {
    private static final FailureDomainId LOCAL = new FailureDomainId("local");

    private final Set<HostId> silent = new HashSet<>();
    private final VirtualTicker ticker = new VirtualTicker();
    private final ForwardingPeers peers =
            new ForwardingPeers(LOCAL, silent::contains, ticker, new SplittableRandom(1));

    private void add(String host, String domain, String ip) {
        peers.update(
                List.of(
                        new ForwardingPeers.Peer(
                                new HostId(host),
                                new FailureDomainId(domain),
                                new Endpoint(ip, 7341))));
    }

    private Target choose() {
        return choose(Set.of()).target();
    }

    private Placement.Decision choose(Set<TargetId> tried) {
        return peers.choose(tried).orElseThrow().decision();
    }

    @Nested
    final class Choice {
        /** Guards against requests that go to a daemon out of reach of all targets every time. */
        @Test
        void daemonThatReachesNoTargetIsPassedOver() {
            add("a", "local", "10.0.0.1");
            add("b", "local", "10.0.0.2");
            ForwardingPeers.Choice first = peers.choose(Set.of()).orElseThrow();
            end(first, Verdict.UNREACHABLE);
            for (int i = 0; i < 10; i++) {
                ForwardingPeers.Choice next = peers.choose(Set.of()).orElseThrow();
                assertNotEquals(first.decision().target(), next.decision().target());
                end(next, Verdict.GOOD);
            }
        }

        private void end(ForwardingPeers.Choice choice, Verdict verdict) {
            Target daemon = choice.decision().target();
            daemon.stopWaiting(choice.pendingResponse());
            daemon.end(verdict);
        }

        /** Guards against connections to hosts that are gone while others respond. */
        @Test
        void silentDaemonComesLast() {
            add("a", "local", "10.0.0.1");
            add("b", "other", "10.0.0.2");
            silent.add(new HostId("a"));
            assertEquals("b", choose().id().value());
            Target last = choose(Set.of(new TargetId("b"))).target();
            assertEquals("a", last.id().value());
        }

        /** Guards against a daemon that is asked for the same request twice. */
        @Test
        void triedDaemonsAreLeftOut() {
            add("a", "local", "10.0.0.1");
            assertTrue(peers.choose(Set.of(new TargetId("a"))).isEmpty());
        }
    }

    /** Scenario: requests wait at a daemon that may have lost its targets too. */
    @Nested
    final class WaitingRequests {
        private ForwardingPeers.Choice last;

        @BeforeEach
        void fill() {
            add("a", "local", "10.0.0.1");
            for (int i = 0; i < ForwardingPeers.MAX_WAITING_UNPROVEN; i++) {
                last = peers.choose(Set.of()).orElseThrow();
            }
        }

        /** Guards against daemons that fill each other with requests that none can serve. */
        @Test
        void furtherOnesAreNotSent() {
            assertTrue(peers.choose(Set.of()).isEmpty());
            assertTrue(peers.isAnyFull(Set.of()));
        }

        /** Guards against few requests at a daemon that serves. */
        @Test
        void furtherOnesAreSentAfterAResponse() {
            last.decision().target().responseStarted(last.pendingResponse());
            for (int i = 0; i < 10; i++) {
                assertTrue(peers.choose(Set.of()).isPresent());
            }
        }

        /** Guards against a daemon that counts as serving long after it has lost its targets. */
        @Test
        void areFewAgainIfNoResponseFollows() {
            last.decision().target().responseStarted(last.pendingResponse());
            ticker.advance(ForwardingPeers.RESPONSE_VALIDITY.plusMillis(1));
            assertTrue(peers.choose(Set.of()).isPresent());
            assertTrue(peers.choose(Set.of()).isEmpty());
        }

        /** Guards against few requests at a daemon whose targets take long to respond. */
        @Test
        void furtherOnesAreSentToADaemonThatDoesNotRefuse() {
            ticker.advance(ForwardingPeers.MAX_REFUSAL_TIME.plusMillis(1));
            assertTrue(peers.choose(Set.of()).isPresent());
        }

        /** Guards against a wait where there is no daemon that could become free. */
        @Test
        void nothingIsWaitedForIfAllWereAsked() {
            assertFalse(peers.isAnyFull(Set.of(new TargetId("a"))));
        }

        /** Guards against many requests at a daemon that responds, but only to refuse. */
        @Test
        void areFewAtADaemonThatReachesNoTarget() {
            last.decision().target().responseStarted(last.pendingResponse());
            last.decision().target().end(Verdict.UNREACHABLE);
            assertTrue(peers.choose(Set.of()).isPresent());
            assertTrue(peers.choose(Set.of()).isEmpty());
            assertFalse(peers.isAnyFull(Set.of()));
        }
    }

    @Nested
    final class Addresses {
        /** Guards against hosts outside the fleet that send requests as if they were daemons. */
        @Test
        void onlyThoseOfDaemonsAreKnown() {
            add("a", "local", "10.0.0.1");
            assertTrue(peers.isKnownAddress("10.0.0.1"));
            assertFalse(peers.isKnownAddress("10.0.0.9"));
        }
    }
}
