package org.godwithoist.peers.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.peers.LoadMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.targets.CachedPrefix;
import org.godwithoist.targets.LimitNews;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.RateLimit;
import org.godwithoist.targets.RejectionLimit;
import org.godwithoist.targets.TargetIncarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link LoadCodec}. */
final class LoadCodecTest {
    private static final HostId SENDER = new HostId("edge-1");
    private static final FailureDomainId DOMAIN = new FailureDomainId("north");

    private static LoadMessage message(Map<TargetId, Integer> requests) {
        return message(requests, List.of());
    }

    private static LoadMessage message(
            Map<TargetId, Integer> requests, List<CachedPrefix> cachedPrefixes) {
        PeerLoads.Report report =
                new PeerLoads.Report(
                        1_700_000_000_000L,
                        7,
                        PeerLoads.Scope.DOMAIN,
                        true,
                        requests,
                        cachedPrefixes);
        return new LoadMessage(SENDER, DOMAIN, report);
    }

    private static CachedPrefix cachedPrefix(String target, long key) {
        return new CachedPrefix(new TargetId(target), new PrefixKey(key));
    }

    private static LoadMessage decode(byte[] bytes) throws MalformedMessageException {
        return LoadCodec.decode(bytes, bytes.length);
    }

    @Nested
    final class ValidMessages {
        /** Guards against fields that are written and read in a different order. */
        @Test
        void allFieldsAreDecoded() throws IOException, MalformedMessageException {
            LoadMessage sent =
                    message(
                            Map.of(new TargetId("i-1"), 3, new TargetId("i-2"), 64),
                            List.of(cachedPrefix("i-2", -5)));
            assertEquals(sent, decode(LoadCodec.encode(sent)));
        }

        /** Guards against a leaving target that other daemons still send requests to. */
        @Test
        void leavingTargetsAreDecoded() throws IOException, MalformedMessageException {
            LoadMessage sent = leavingMessage(3);
            assertEquals(sent, decode(LoadCodec.encode(sent)));
        }

        /** Guards against messages that exceed a packet while a whole service is replaced. */
        @Test
        void manyLeavingTargetsFitBesideTheOtherFields()
                throws IOException, MalformedMessageException {
            byte[] bytes = LoadCodec.encode(leavingMessage(200));
            assertTrue(bytes.length <= LoadCodec.MAX_BYTES, "bytes: " + bytes.length);
            int decoded = decode(bytes).report().leaving().size();
            assertTrue(decoded >= 10, "leaving targets: " + decoded);
        }

        /** Guards against daemons that don't learn of a limit, of its change or of its end. */
        @Test
        void limitsAreDecoded() throws IOException, MalformedMessageException {
            LoadMessage sent = withSequence(limitedMessage(3), 0);
            assertEquals(sent, decode(LoadCodec.encode(sent)));
        }

        /** Guards against messages beyond a packet, and limits that are never sent, at many. */
        @Test
        void manyLimitsAreSentInTurn() throws IOException, MalformedMessageException {
            Set<TargetIncarnation> sent = new HashSet<>();
            Set<TargetIncarnation> sentRejections = new HashSet<>();
            for (long sequence = 0; sequence < 100; sequence++) {
                byte[] bytes = LoadCodec.encode(withSequence(limitedMessage(100), sequence));
                assertTrue(bytes.length <= LoadCodec.MAX_BYTES, "bytes: " + bytes.length);
                PeerLoads.Report decoded = decode(bytes).report();
                decoded.rateNews().forEach(n -> sent.add(n.target()));
                decoded.rejectionNews().forEach(n -> sentRejections.add(n.target()));
            }
            assertEquals(100, sent.size());
            assertEquals(100, sentRejections.size());
        }

        private static LoadMessage limitedMessage(int count) {
            List<LimitNews<RateLimit>> news = new ArrayList<>();
            List<LimitNews<RejectionLimit>> rejectionNews = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Optional<RateLimit> limit =
                        i % 3 == 0 ? Optional.empty() : Optional.of(new RateLimit(500 + i));
                TargetIncarnation target = new TargetIncarnation(new TargetId("i-" + i), 1000 + i);
                news.add(new LimitNews<>(target, limit, Duration.ofMillis(10L * i)));
                Optional<RejectionLimit> rejections =
                        i % 3 == 1 ? Optional.empty() : Optional.of(new RejectionLimit(i));
                rejectionNews.add(new LimitNews<>(target, rejections, Duration.ofMillis(i)));
            }
            LoadMessage plain = message(Map.of(new TargetId("i-1"), 3));
            PeerLoads.Report r = plain.report();
            PeerLoads.Report report =
                    new PeerLoads.Report(
                            r.incarnation(),
                            r.sequence(),
                            r.scope(),
                            r.complete(),
                            r.requests(),
                            r.cachedPrefixes(),
                            r.leaving(),
                            news,
                            rejectionNews);
            return new LoadMessage(plain.sender(), plain.domain(), report);
        }

        private static LoadMessage withSequence(LoadMessage message, long sequence) {
            PeerLoads.Report r = message.report();
            PeerLoads.Report report =
                    new PeerLoads.Report(
                            r.incarnation(),
                            sequence,
                            r.scope(),
                            r.complete(),
                            r.requests(),
                            r.cachedPrefixes(),
                            r.leaving(),
                            r.rateNews(),
                            r.rejectionNews());
            return new LoadMessage(message.sender(), message.domain(), report);
        }

        /** Guards against messages that daemons of an older build reject without need. */
        @Test
        void messageWithoutLeavingTargetsHasTheFirstVersion() throws IOException {
            assertEquals(1, LoadCodec.encode(message(Map.of()))[0]);
        }

        private static LoadMessage leavingMessage(int count) {
            Set<TargetIncarnation> leaving = new HashSet<>();
            for (int i = 0; i < count; i++) {
                leaving.add(new TargetIncarnation(new TargetId("i-" + i), 1000 + i));
            }
            LoadMessage plain = message(Map.of(new TargetId("i-1"), 3));
            PeerLoads.Report r = plain.report();
            PeerLoads.Report report =
                    new PeerLoads.Report(
                            r.incarnation(),
                            r.sequence(),
                            r.scope(),
                            r.complete(),
                            r.requests(),
                            r.cachedPrefixes(),
                            leaving);
            return new LoadMessage(plain.sender(), plain.domain(), report);
        }

        /** Guards against messages larger than a packet and against omitting the highest loads. */
        @Test
        void oversizedMessageKeepsTheTargetsWithMostRequests()
                throws IOException, MalformedMessageException {
            Map<TargetId, Integer> requests = new HashMap<>();
            for (int i = 0; i < 500; i++) {
                requests.put(new TargetId("target-" + i), i);
            }
            byte[] bytes = LoadCodec.encode(message(requests));
            assertTrue(bytes.length <= LoadCodec.MAX_BYTES, "bytes: " + bytes.length);
            Map<TargetId, Integer> decoded = decode(bytes).report().requests();
            assertEquals(499, decoded.get(new TargetId("target-499")));
            assertTrue(decoded.size() >= 50, "targets: " + decoded.size());
        }

        /**
         * Guards against a negative count that is decoded as 65,535 requests, so that the engine
         * receives no more requests.
         */
        @Test
        void outOfRangeCountsAreClamped() throws IOException, MalformedMessageException {
            Map<TargetId, Integer> requests =
                    Map.of(new TargetId("i-1"), -1, new TargetId("i-2"), 70_000);
            Map<TargetId, Integer> decoded =
                    decode(LoadCodec.encode(message(requests))).report().requests();
            assertEquals(0, decoded.get(new TargetId("i-1")));
            assertEquals(65_535, decoded.get(new TargetId("i-2")));
        }

        /** Guards against new cached prefixes that are never sent because too many are pending. */
        @Test
        void newestCachedPrefixesFitBesideManyTargets()
                throws IOException, MalformedMessageException {
            Map<TargetId, Integer> requests = new HashMap<>();
            List<CachedPrefix> cachedPrefixes = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                requests.put(new TargetId("target-" + i), i);
                cachedPrefixes.add(cachedPrefix("target-499", i));
            }
            byte[] bytes = LoadCodec.encode(message(requests, cachedPrefixes));
            assertTrue(bytes.length <= LoadCodec.MAX_BYTES, "bytes: " + bytes.length);
            List<CachedPrefix> decoded = decode(bytes).report().cachedPrefixes();
            assertEquals(cachedPrefix("target-499", 499), decoded.get(0));
            assertTrue(decoded.size() >= 40, "cached prefixes: " + decoded.size());
        }
    }

    @Nested
    final class InvalidMessages {
        /** Guards against a receiver that fails on arbitrary bytes from the network. */
        @Test
        void randomBytesAreRejectedOrDecoded() {
            Random random = new Random(5);
            for (int i = 0; i < 20_000; i++) {
                byte[] bytes = new byte[random.nextInt(80)];
                random.nextBytes(bytes);
                if (bytes.length > 0 && random.nextBoolean()) {
                    bytes[0] = (byte) (1 + random.nextInt(3));
                }
                try {
                    decode(bytes);
                } catch (MalformedMessageException e) {
                    assertTrue(e.getMessage() != null);
                }
            }
        }

        /** Guards against a truncated message that is accepted as complete. */
        @Test
        void truncatedMessageIsRejected() throws IOException {
            byte[] bytes = LoadCodec.encode(message(Map.of(new TargetId("i-1"), 3)));
            byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
            assertThrows(MalformedMessageException.class, () -> decode(truncated));
        }

        /** Guards against a message of a later version that is decoded as the current one. */
        @Test
        void unknownVersionIsRejected() throws IOException {
            byte[] bytes = LoadCodec.encode(message(Map.of()));
            bytes[0] = 4;
            assertThrows(MalformedMessageException.class, () -> decode(bytes));
        }
    }
}
