package org.godwithoist.peers.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.fuzz.DecoderFuzzer;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.overload.Demand;
import org.godwithoist.overload.DemandReport;
import org.godwithoist.overload.WorkspaceKey;
import org.godwithoist.peers.DemandMessage;
import org.godwithoist.peers.EvidenceMessage;
import org.godwithoist.peers.LoadMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.peers.PeerMessage;
import org.godwithoist.peers.RolloutMessage;
import org.godwithoist.peers.StoreContactMessage;
import org.godwithoist.peers.VersionMessage;
import org.godwithoist.peers.WorkMessage;
import org.godwithoist.quarantine.CrashId;
import org.godwithoist.quarantine.CrashReport;
import org.godwithoist.quarantine.SuspectEvidence;
import org.godwithoist.quarantine.SuspectId;
import org.godwithoist.rollout.Counts;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.LatencyHistogram;
import org.godwithoist.rollout.OrderId;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.Release;
import org.godwithoist.rollout.RolloutState;
import org.godwithoist.rollout.fleet.RolloutReport;
import org.godwithoist.rollout.fleet.ServiceKey;
import org.godwithoist.rollout.fleet.Statement;
import org.godwithoist.streams.StreamOrigin;
import org.godwithoist.streams.VersionSighting;
import org.godwithoist.targets.CachedPrefix;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.TargetIncarnation;
import org.godwithoist.targets.TargetKey;
import org.godwithoist.targets.TokenWork;
import org.godwithoist.targets.WorkReport;
import org.godwithoist.targets.WorkTimeReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link PeerCodec} with many inputs; any process can send datagrams to a daemon. */
final class PeerCodecFuzzTest {
    private static final int MESSAGES = 300;
    private static final HostId SENDER = new HostId("edge-1");
    private static final FailureDomainId DOMAIN = new FailureDomainId("north");

    private static PeerMessage message(SplittableRandom random) {
        return switch (random.nextInt(8)) {
            case 0 -> evidence(random);
            case 1 -> work(random);
            case 2 -> demand(random);
            case 3 -> rollout(random);
            case 4 -> version(random);
            case 5 -> new StoreContactMessage(SENDER, DOMAIN);
            default -> load(random);
        };
    }

    private static VersionMessage version(SplittableRandom random) {
        Optional<SoftwareVersion> version =
                random.nextBoolean()
                        ? Optional.empty()
                        : Optional.of(new SoftwareVersion("v" + random.nextInt(100)));
        Duration age = Duration.ofMillis(random.nextInt(1_000_000));
        return new VersionMessage(
                SENDER,
                DOMAIN,
                new VersionSighting(new ServiceId("s"), new StreamOrigin(version), age));
    }

    private static RolloutMessage rollout(SplittableRandom random) {
        Evidence evidence = Evidence.NONE;
        for (int i = random.nextInt(Evidence.MAX_ROUTES); i > 0; i--) {
            for (Release release : Release.values()) {
                evidence =
                        evidence.plus(Evidence.of(new RouteId("r" + i), release, counts(random)));
            }
        }
        RolloutReport report =
                new RolloutReport(
                        new ServiceKey(random.nextLong()),
                        new OrderId(random.nextLong(), random.nextLong()),
                        random.nextLong(),
                        random.nextLong(),
                        PeerLoads.Scope.DOMAIN,
                        new Statement(random.nextLong(), random.nextLong()),
                        Duration.ofMillis(random.nextInt(1_000_000)),
                        Duration.ofMillis(random.nextInt(1_000_000)),
                        new Progress(
                                random.nextLong(1L << 40),
                                random.nextInt(1000),
                                random.nextDouble(),
                                RolloutState.IN_PROGRESS),
                        evidence);
        return new RolloutMessage(SENDER, DOMAIN, report);
    }

    private static Counts counts(SplittableRandom random) {
        long[] latencies = new long[LatencyHistogram.BUCKETS];
        Arrays.setAll(latencies, i -> random.nextLong(2) * random.nextLong(300));
        return new Counts(
                random.nextInt(1, 100_000),
                random.nextInt(5000),
                random.nextInt(200),
                random.nextInt(200),
                random.nextInt(200),
                LatencyHistogram.of(latencies));
    }

    private static WorkMessage work(SplittableRandom random) {
        Map<TargetKey, TokenWork> work = new HashMap<>();
        Map<TargetKey, WorkTimeReading> workTimes = new HashMap<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            TargetKey key = new TargetKey(random.nextInt());
            // Multiples of the units of the encoding, which are not rounded.
            work.put(key, new TokenWork(64L * random.nextInt(9), 64L * (1 + random.nextInt(9))));
            Duration age = Duration.ofMillis(4L * random.nextInt(200));
            workTimes.put(key, new WorkTimeReading(10 * (1 + random.nextInt(200)), age));
        }
        return new WorkMessage(
                SENDER,
                DOMAIN,
                new WorkReport(
                        random.nextLong(),
                        random.nextLong(),
                        PeerLoads.Scope.OWN,
                        random.nextBoolean(),
                        work,
                        workTimes));
    }

    private static DemandMessage demand(SplittableRandom random) {
        Map<WorkspaceKey, Demand> demand = new HashMap<>();
        for (int i = random.nextInt(30); i > 0; i--) {
            demand.put(
                    new WorkspaceKey(random.nextLong()),
                    new Demand(random.nextInt(1000), random.nextInt(1000), random.nextInt(99)));
        }
        DemandReport report =
                new DemandReport(
                        new ServiceId("s"),
                        random.nextLong(),
                        random.nextLong(),
                        PeerLoads.Scope.OWN,
                        random.nextInt(100),
                        demand);
        return new DemandMessage(SENDER, DOMAIN, report);
    }

    private static EvidenceMessage evidence(SplittableRandom random) {
        Map<CrashId, CrashReport> crashes = new HashMap<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            Duration age = Duration.ofMillis(random.nextInt(1_000_000));
            crashes.put(
                    new CrashId(random.nextLong()),
                    new CrashReport(age, new PrefixKey(random.nextLong())));
        }
        SuspectEvidence part =
                new SuspectEvidence(
                        new SuspectId("part"),
                        random.nextBoolean(),
                        crashes,
                        Set.of(new CrashId(random.nextLong())));
        return new EvidenceMessage(SENDER, DOMAIN, List.of(part));
    }

    private static LoadMessage load(SplittableRandom random) {
        Map<TargetId, Integer> requests = new HashMap<>();
        List<CachedPrefix> prefixes = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            TargetId id = new TargetId("i-" + i);
            requests.put(id, random.nextInt(200));
            prefixes.add(new CachedPrefix(id, new PrefixKey(random.nextLong())));
        }
        Set<TargetIncarnation> leaving =
                random.nextBoolean()
                        ? Set.of()
                        : Set.of(new TargetIncarnation(new TargetId("i-9"), random.nextLong()));
        // Prefixes are sent newest first.
        PeerLoads.Report report =
                new PeerLoads.Report(
                        random.nextLong(),
                        random.nextLong(),
                        PeerLoads.Scope.FLEET,
                        random.nextBoolean(),
                        requests,
                        prefixes.subList(0, Math.min(1, prefixes.size())),
                        leaving);
        return new LoadMessage(SENDER, DOMAIN, report);
    }

    private static PeerMessage decode(byte[] bytes) throws MalformedMessageException {
        return PeerCodec.decode(bytes, bytes.length);
    }

    @Nested
    final class ChangedMessages {
        /** Guards against a receiver that fails on a datagram from an arbitrary process. */
        @Test
        void areDecodedOrRejected() throws Exception {
            SplittableRandom random = new SplittableRandom(3);
            List<byte[]> corpus = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                corpus.add(PeerCodec.encode(message(random)));
            }
            new DecoderFuzzer(corpus, List.of(MalformedMessageException.class))
                    .check(PeerCodecFuzzTest::decode);
        }
    }

    @Nested
    final class RoundTrips {
        /** Guards against a message that is decoded as another one than was sent. */
        @Test
        void messagesAreDecodedAsTheyWereEncoded() throws Exception {
            SplittableRandom random = new SplittableRandom(5);
            for (int i = 0; i < MESSAGES; i++) {
                PeerMessage sent = message(random);
                assertEquals(sent, decode(PeerCodec.encode(sent)));
            }
        }
    }
}
