package org.godwithoist.peers.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
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
import org.godwithoist.peers.RolloutMessage;
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
import org.godwithoist.targets.LimitNews;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.RateLimit;
import org.godwithoist.targets.RejectionLimit;
import org.godwithoist.targets.TargetIncarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link PeerCodec}; load messages have tests of their own. */
final class PeerCodecTest {
    private static EvidenceMessage message(SuspectEvidence evidence) {
        return new EvidenceMessage(
                new HostId("h".repeat(HostId.MAX_LENGTH)),
                new FailureDomainId("d".repeat(FailureDomainId.MAX_LENGTH)),
                Collections.nCopies(EvidenceMessage.MAX_SUSPECTS, evidence));
    }

    private static SuspectEvidence largestEvidence() {
        Map<CrashId, CrashReport> crashes = new HashMap<>();
        Set<CrashId> cleared = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            crashes.put(new CrashId(i), new CrashReport(Duration.ofMinutes(i), new PrefixKey(i)));
            cleared.add(new CrashId(-i));
        }
        SuspectId part = new SuspectId("p".repeat(SuspectId.MAX_LENGTH));
        return new SuspectEvidence(part, true, crashes, cleared);
    }

    /** Returns a message whose counts and names all have their largest size. */
    private static RolloutMessage largestRollout() {
        long[] latencies = new long[LatencyHistogram.BUCKETS];
        Arrays.fill(latencies, 3_000_000_000L);
        Evidence evidence = Evidence.NONE;
        for (int i = 0; i < Evidence.MAX_ROUTES; i++) {
            RouteId route = new RouteId("\u00e4" + i + "r".repeat(RouteId.MAX_LENGTH - 2));
            for (Release release : Release.values()) {
                long n = 4_000_000_000L + i;
                Counts counts = new Counts(n, n, n, n, n, LatencyHistogram.of(latencies));
                evidence = evidence.plus(Evidence.of(route, release, counts));
            }
        }
        RolloutReport report =
                new RolloutReport(
                        new ServiceKey(1),
                        new OrderId(2, 3),
                        4,
                        5,
                        PeerLoads.Scope.OWN,
                        new Statement(3, 9),
                        Duration.ofDays(100),
                        Duration.ofDays(100),
                        new Progress(7, 8, 0.5, RolloutState.IN_PROGRESS),
                        evidence);
        return new RolloutMessage(
                new HostId("h".repeat(HostId.MAX_LENGTH)),
                new FailureDomainId("d".repeat(FailureDomainId.MAX_LENGTH)),
                report);
    }

    @Nested
    final class ValidMessages {
        /** Guards against fields that are written and read in a different order. */
        @Test
        void evidenceIsDecodedAsItWasEncoded() throws Exception {
            EvidenceMessage sent =
                    message(
                            new SuspectEvidence(
                                    new SuspectId("dead"),
                                    false,
                                    Map.of(
                                            new CrashId(5),
                                            new CrashReport(
                                                    Duration.ofMillis(1234), new PrefixKey(9))),
                                    Set.of(new CrashId(-7))));
            byte[] bytes = PeerCodec.encode(sent);
            assertEquals(sent, PeerCodec.decode(bytes, bytes.length));
        }

        /**
         * Guards against a load message whose version is the type of another message: the report
         * and the rate limits in it would be lost.
         */
        @Test
        void loadMessagesOfEachVersionAreDecodedAsTheyWereEncoded() throws Exception {
            TargetIncarnation target = new TargetIncarnation(new TargetId("i-1"), 1000);
            LimitNews<RateLimit> news =
                    new LimitNews<>(target, Optional.of(new RateLimit(500)), Duration.ofMillis(10));
            LimitNews<RejectionLimit> rejectionNews =
                    new LimitNews<>(
                            target, Optional.of(new RejectionLimit(0)), Duration.ofMillis(10));
            for (Set<TargetIncarnation> leaving :
                    List.of(Set.of(target), Set.<TargetIncarnation>of())) {
                for (List<LimitNews<RateLimit>> rates :
                        List.of(List.of(news), List.<LimitNews<RateLimit>>of())) {
                    for (List<LimitNews<RejectionLimit>> rejections :
                            List.of(List.of(rejectionNews), List.<LimitNews<RejectionLimit>>of())) {
                        LoadMessage sent = loadMessage(leaving, rates, rejections);
                        byte[] bytes = PeerCodec.encode(sent);
                        assertEquals(sent, PeerCodec.decode(bytes, bytes.length));
                    }
                }
            }
        }

        private static LoadMessage loadMessage(
                Set<TargetIncarnation> leaving,
                List<LimitNews<RateLimit>> rates,
                List<LimitNews<RejectionLimit>> rejections) {
            PeerLoads.Report report =
                    new PeerLoads.Report(
                            1,
                            2,
                            PeerLoads.Scope.OWN,
                            true,
                            Map.of(new TargetId("i-1"), 3),
                            List.of(),
                            leaving,
                            rates,
                            rejections);
            return new LoadMessage(new HostId("h-1"), new FailureDomainId("d-1"), report);
        }

        private static DemandMessage demandMessage(int workspaces, int idLength) {
            Map<WorkspaceKey, Demand> demand = new HashMap<>();
            for (int i = 0; i < workspaces; i++) {
                demand.put(new WorkspaceKey(100 + i), new Demand(workspaces - i, 0.5, i));
            }
            return new DemandMessage(
                    new HostId("h".repeat(idLength)),
                    new FailureDomainId("d".repeat(idLength)),
                    new DemandReport(
                            new ServiceId("s".repeat(2 * idLength)),
                            5,
                            6,
                            PeerLoads.Scope.DOMAIN,
                            7,
                            demand));
        }

        /** Guards against demand that another daemon reads as other values. */
        @Test
        void demandIsDecodedAsItWasEncoded() throws Exception {
            DemandMessage sent = demandMessage(24, 5);
            byte[] bytes = PeerCodec.encode(sent);
            assertEquals(sent, PeerCodec.decode(bytes, bytes.length));
        }

        /** Guards against thousands of workspaces that do not fit, or whose demand is lost. */
        @Test
        void largestDemandIsListedAndTheOthersAreSummed() throws Exception {
            byte[] bytes = PeerCodec.encode(demandMessage(2300, HostId.MAX_LENGTH));
            assertTrue(bytes.length <= PeerCodec.MAX_BYTES, bytes.length + " bytes");
            DemandMessage received = (DemandMessage) PeerCodec.decode(bytes, bytes.length);
            Map<WorkspaceKey, Demand> demand = received.report().byWorkspace();
            assertEquals(2300, demand.get(new WorkspaceKey(100)).current());
            double sum = demand.values().stream().mapToDouble(Demand::current).sum();
            assertEquals(2300 * 2301 / 2, sum, 1);
            assertTrue(demand.containsKey(WorkspaceKey.OTHERS), "others are missing");
        }

        /** Guards against a message that does not fit into one packet. */
        @Test
        void largestMessageFits() throws Exception {
            byte[] bytes = PeerCodec.encode(message(largestEvidence()));
            assertTrue(bytes.length <= PeerCodec.MAX_BYTES, bytes.length + " bytes");
            PeerCodec.decode(bytes, bytes.length);
        }

        /** Guards against a report of many long routes that does not fit into one packet. */
        @Test
        void largestRolloutMessageFits() throws Exception {
            byte[] bytes = PeerCodec.encode(largestRollout());
            assertTrue(bytes.length <= PeerCodec.MAX_BYTES, bytes.length + " bytes");
            RolloutMessage decoded = (RolloutMessage) PeerCodec.decode(bytes, bytes.length);
            Evidence sent = largestRollout().report().evidence();
            Evidence read = decoded.report().evidence();
            assertEquals(sent.total(Release.CANARY).sent(), read.total(Release.CANARY).sent());
        }
    }

    @Nested
    final class MalformedMessages {
        /** Guards against a truncated message that fails with another exception. */
        @Test
        void truncatedMessagesAreRejected() throws IOException {
            byte[] bytes = PeerCodec.encode(message(largestEvidence()));
            for (int i = 0; i < bytes.length; i++) {
                int length = i;
                assertThrows(
                        MalformedMessageException.class, () -> PeerCodec.decode(bytes, length));
            }
        }

        /** Guards against bytes that end the receiving task or take much memory. */
        @Test
        void alteredMessagesAreDecodedOrRejected() throws IOException {
            byte[] valid = PeerCodec.encode(message(largestEvidence()));
            Random random = new Random(3);
            int rejected = 0;
            for (int i = 0; i < 20_000; i++) {
                byte[] bytes = Arrays.copyOf(valid, valid.length);
                for (int n = random.nextInt(4); n >= 0; n--) {
                    bytes[1 + random.nextInt(bytes.length - 1)] = (byte) random.nextInt();
                }
                try {
                    PeerCodec.decode(bytes, bytes.length);
                } catch (MalformedMessageException e) {
                    rejected++;
                }
            }
            assertTrue(rejected > 0, "rejected: " + rejected);
        }
    }
}
