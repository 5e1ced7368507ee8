package org.godwithoist.membership.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.membership.HostListHarness;
import org.godwithoist.membership.HostListMessage;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.TestDaemon;
import org.godwithoist.membership.wire.generated.HostListRequest;
import org.godwithoist.membership.wire.generated.HostListResponse;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.fake.FakeHostList;
import org.godwithoist.store.fake.StoreFault;

/**
 * Measures the reads and pulls of the host list in virtual time with the real codec, and the bytes
 * that a pull adds on a real connection. Arguments: pairs of daemons and entries, as 64:256.
 */
public final class HostListMeasurement {
    private static final int DOMAINS = 7;
    private static final int CHANGES_PER_DAY = 3_200;
    private static final int SECONDS_PER_DAY = 86_400;
    private static final int STEADY_SECONDS = 120;
    private static final int OUTAGE_SECONDS = 60;
    private static final int STEPS_PER_SECOND = 20;
    private static final int PULL_COUNT = 500;

    private HostListMeasurement() {}

    /** Prints the bytes of a pull and one line of figures for each pair. */
    public static void main(String[] args) {
        double[] frameBytes = measureFrameBytes();
        System.out.printf(
                "an unchanged pull on a connection: %.0f B request, %.0f B response%n",
                frameBytes[0], frameBytes[1]);
        for (String pair : args) {
            String[] parts = pair.split(":", -1);
            new Run(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), frameBytes).measure();
        }
        System.exit(0);
    }

    /** Returns the bytes of a request and of a response on a connection, including framing. */
    private static double[] measureFrameBytes() {
        Member a = TestDaemon.member(1, 1);
        Member b = TestDaemon.member(2, 1);
        FakeHostList hosts = new FakeHostList();
        hosts.set(List.of(entry(1)));
        GrpcPeerTransport client = transport(a, b);
        GrpcPeerTransport server = transport(b, a);
        var harness = new HostListHarness(b, List.of(a, b), hosts, Ticker.SYSTEM, r -> {});
        harness.runRound((peer, request, timeout) -> CompletableFuture.failedFuture(unknownPeer()));
        GrpcHostList.bind(server, harness.state());
        client.listen(a.peer());
        server.listen(b.peer());
        GrpcHostList pulls = GrpcHostList.bind(client, harness.state());
        var request = HostListMessage.Request.changesSince(harness.digest());
        Duration timeout = Duration.ofSeconds(5);
        for (int i = 0; i < PULL_COUNT; i++) {
            pulls.pull(b.host(), request, timeout).join();
        }
        long sent = client.traffic().bytesSent();
        long received = client.traffic().bytesReceived();
        for (int i = 0; i < PULL_COUNT; i++) {
            pulls.pull(b.host(), request, timeout).join();
        }
        double out = client.traffic().bytesSent() - sent;
        double in = client.traffic().bytesReceived() - received;
        client.close();
        server.close();
        return new double[] {out / PULL_COUNT, in / PULL_COUNT};
    }

    private static IllegalStateException unknownPeer() {
        return new IllegalStateException("there are no peers to pull from");
    }

    private static GrpcPeerTransport transport(Member self, Member peer) {
        return new GrpcPeerTransport(
                self.host(), 1, TestDaemon.KEYS, h -> Optional.of(peer.peer()), Ticker.SYSTEM);
    }

    private static Member member(int n) {
        return new Member(
                new HostId("daemon-" + n),
                new FailureDomainId("domain-" + n % DOMAINS),
                new Endpoint("10.0.0.1", 7_000 + n),
                1);
    }

    private static HostEntry entry(int n) {
        return new HostEntry(
                new HostId("host-engine-" + n),
                HostEntry.Kind.ENGINE,
                Optional.of(new TargetId("engine-" + n)),
                Optional.of(new PoolId("pool-" + n % 10)),
                new FailureDomainId("domain-" + n % DOMAINS),
                new Endpoint("10.0.0.1", 10_000 + n),
                HostEntry.State.LIVE);
    }

    private static final class Run {
        private final VirtualTicker ticker = new VirtualTicker();
        private final FakeHostList platform = new FakeHostList();
        private final SplittableRandom random = new SplittableRandom(1);
        private final List<Member> members;
        private final List<HostEntry> list;
        private final double[] frameBytes;
        private final List<HostListHarness> harnesses = new ArrayList<>();
        private final Map<HostId, HostListHarness> byHost = new HashMap<>();
        private final Map<HostId, long[]> bytes = new HashMap<>();
        private final List<Integer> roundSteps = new ArrayList<>();
        private final Map<HostEntry, HostEntry> known = new HashMap<>();
        private HostId puller;
        private long reads;

        private Run(int daemons, int entries, double[] frameBytes) {
            this.frameBytes = frameBytes;
            members = IntStream.range(0, daemons).mapToObj(n -> member(n)).toList();
            list = new ArrayList<>(members.stream().map(TestDaemon::hostListEntry).toList());
            IntStream.range(daemons, Math.max(daemons, entries)).forEach(n -> list.add(entry(n)));
            platform.set(list);
            for (Member m : members) {
                var harness = new HostListHarness(m, members, platform, ticker, r -> reads += r);
                harnesses.add(harness);
                byHost.put(m.host(), harness);
                bytes.put(m.host(), new long[2]);
                roundSteps.add(random.nextInt(STEPS_PER_SECOND));
            }
        }

        private CompletableFuture<HostListMessage.Response> pull(
                HostId peer, HostListMessage.Request request, Duration timeout) {
            byte[] sent = HostListCodec.encode(request).toByteArray();
            try {
                var decoded = HostListCodec.decode(HostListRequest.parseFrom(sent));
                var response = HostListCodec.encode(byHost.get(peer).state().respond(decoded));
                byte[] received = response.toByteArray();
                // The measured frame includes the body of an unchanged pull: 9 and 8 B.
                count(puller, peer, frameBytes[0] + sent.length - 9);
                count(peer, puller, frameBytes[1] + received.length - 8);
                return CompletableFuture.completedFuture(
                        shared(HostListCodec.decode(HostListResponse.parseFrom(received))));
            } catch (InvalidProtocolBufferException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        /** Makes the daemons share equal entries; 940 separate lists would take 3 GB. */
        private HostListMessage.Response shared(HostListMessage.Response r) {
            if (!(r.content().orElse(null) instanceof HostListMessage.Page p)) {
                return r;
            }
            List<HostEntry> entries =
                    p.entries().stream().map(e -> known.computeIfAbsent(e, k -> k)).toList();
            var page = new HostListMessage.Page(p.digest(), p.start(), p.total(), entries);
            return new HostListMessage.Response(r.age(), Optional.of(page));
        }

        private void count(HostId from, HostId to, double size) {
            bytes.get(from)[0] += Math.round(size);
            bytes.get(to)[1] += Math.round(size);
        }

        private void measure() {
            run(10, 0);
            reset();
            long largest = run(STEADY_SECONDS, CHANGES_PER_DAY);
            print("steady", STEADY_SECONDS);
            System.out.printf("  a change is at all daemons after at most %d ms%n", largest);
            // A burst: a seventh of the targets changes to leaving at the same time.
            reset();
            for (int i = 0; i < list.size(); i++) {
                HostEntry h = list.get(i);
                if (h.kind().isTarget() && h.failureDomain().value().equals("domain-0")) {
                    list.set(i, leaving(h));
                }
            }
            platform.set(list);
            run(10, 0);
            print("a domain leaves, 10 s", 10);
            platform.setFault(StoreFault.DOWN);
            run(60, 0);
            reset();
            run(OUTAGE_SECONDS, 0);
            print("platform down", OUTAGE_SECONDS);
        }

        private void reset() {
            reads = 0;
            bytes.values().forEach(b -> Arrays.fill(b, 0));
        }

        private static HostEntry leaving(HostEntry h) {
            return new HostEntry(
                    h.host(),
                    h.kind(),
                    h.target(),
                    h.pool(),
                    h.failureDomain(),
                    h.address(),
                    HostEntry.State.LEAVING);
        }

        /**
         * Runs for a time and returns the maximum time in ms until a change has reached all
         * daemons.
         */
        private long run(int seconds, int changesPerDay) {
            long longest = 0;
            long changedAt = -1;
            int next = list.size();
            double due = 0;
            for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
                due += (double) changesPerDay / SECONDS_PER_DAY / STEPS_PER_SECOND;
                if (due >= 1) {
                    due -= 1;
                    // A host is replaced: one entry is removed and one is added.
                    list.remove(list.size() - 1 - random.nextInt(list.size() - members.size()));
                    list.add(entry(next++));
                    platform.set(list);
                    changedAt = ticker.nanos();
                }
                ticker.advance(Duration.ofMillis(1_000 / STEPS_PER_SECOND));
                for (int i = 0; i < harnesses.size(); i++) {
                    if (step % STEPS_PER_SECOND == roundSteps.get(i)) {
                        puller = members.get(i).host();
                        harnesses.get(i).runRound(this::pull);
                    }
                }
                if (changedAt >= 0 && harnesses.stream().allMatch(n -> n.contains(next()))) {
                    longest = Math.max(longest, (ticker.nanos() - changedAt) / 1_000_000);
                    changedAt = -1;
                }
            }
            return longest;
        }

        private HostEntry next() {
            return list.getLast();
        }

        private void print(String what, int seconds) {
            double[] sent = sorted(0);
            double[] received = sorted(1);
            int n = members.size();
            System.out.printf(
                    "%d daemons, %d entries, %s: %.1f reads/s of the fleet; per daemon sent mean"
                            + " %.0f median %.0f most %.0f B/s, received mean %.0f median %.0f"
                            + " most %.0f B/s%n",
                    n,
                    list.size(),
                    what,
                    (double) reads / seconds,
                    Arrays.stream(sent).average().orElseThrow() / seconds,
                    sent[n / 2] / seconds,
                    sent[n - 1] / seconds,
                    Arrays.stream(received).average().orElseThrow() / seconds,
                    received[n / 2] / seconds,
                    received[n - 1] / seconds);
        }

        private double[] sorted(int direction) {
            return bytes.values().stream().mapToDouble(b -> b[direction]).sorted().toArray();
        }
    }
}
