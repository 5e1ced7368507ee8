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
import org.godwithoist.targets.Target;
import org.godwithoist.targets.Verdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ForwardingPeersTest {
    private static final FailureDomainId LOCAL = new FailureDomainId("local");

    private final Set<HostId> silent = new HashSet<>();
    private final ForwardingPeers peers =
            new ForwardingPeers(
                    LOCAL, silent::contains, new VirtualTicker(), new SplittableRandom(1));

    private void add(String host, String domain, String ip) {
        peers.update(
                List.of(
                        new ForwardingPeers.Peer(
                                new HostId(host),
                                new FailureDomainId(domain),
                                new Endpoint(ip, 7341))));
    }

    private Target choose() {
        return peers.choose(Set.of()).orElseThrow().target();
    }

    @Nested
    final class Choice {
        /** Guards against requests that go to a daemon out of reach of all targets every time. */
        @Test
        void daemonThatReachesNoTargetIsPassedOver() {
            add("a", "local", "10.0.0.1");
            add("b", "local", "10.0.0.2");
            Target first = choose();
            first.end(Verdict.UNREACHABLE);
            for (int i = 0; i < 10; i++) {
                Target next = choose();
                assertNotEquals(first, next);
                next.end(Verdict.GOOD);
            }
        }

        /** Guards against connections to hosts that are gone while others respond. */
        @Test
        void silentDaemonComesLast() {
            add("a", "local", "10.0.0.1");
            add("b", "other", "10.0.0.2");
            silent.add(new HostId("a"));
            assertEquals("b", choose().id().value());
            Target last = peers.choose(Set.of(new TargetId("b"))).orElseThrow().target();
            assertEquals("a", last.id().value());
        }

        /** Guards against a daemon that is asked for the same request twice. */
        @Test
        void triedDaemonsAreLeftOut() {
            add("a", "local", "10.0.0.1");
            assertTrue(peers.choose(Set.of(new TargetId("a"))).isEmpty());
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
