package org.godwithoist.peers.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.peers.LoadMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.targets.CachedPrefix;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.PrefixKey;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link LoadCodec}. */
final class LoadCodecTest {
    private static final HostId SENDER = new HostId("edge-1");
    private static final FailureDomainId DOMAIN = new FailureDomainId("north");

    private static LoadMessage message(Map<TargetId, Integer> calls) {
        return message(calls, List.of());
    }

    private static LoadMessage message(Map<TargetId, Integer> calls, List<CachedPrefix> reads) {
        PeerLoads.Report report =
                new PeerLoads.Report(
                        1_700_000_000_000L, 7, PeerLoads.Scope.DOMAIN, true, calls, reads);
        return new LoadMessage(SENDER, DOMAIN, report);
    }

    private static CachedPrefix read(String target, long key) {
        return new CachedPrefix(new TargetId(target), new PrefixKey(key));
    }

    private static LoadMessage decode(byte[] bytes) throws MalformedMessageException {
        return LoadCodec.decode(bytes, bytes.length);
    }

    @Nested
    final class ProperMessages {
        /** Guards against a field that is read as another one. */
        @Test
        void allFieldsArrive() throws IOException, MalformedMessageException {
            LoadMessage sent =
                    message(
                            Map.of(new TargetId("i-1"), 3, new TargetId("i-2"), 64),
                            List.of(read("i-2", -5)));
            assertEquals(sent, decode(LoadCodec.encode(sent)));
        }

        /** Guards against a message that no packet carries, and against losing the high loads. */
        @Test
        void longMessageKeepsTheTargetsWithMostCalls()
                throws IOException, MalformedMessageException {
            Map<TargetId, Integer> calls = new HashMap<>();
            for (int i = 0; i < 500; i++) {
                calls.put(new TargetId("target-" + i), i);
            }
            byte[] bytes = LoadCodec.encode(message(calls));
            assertTrue(bytes.length <= LoadCodec.MAX_BYTES, "bytes: " + bytes.length);
            Map<TargetId, Integer> arrived = decode(bytes).report().requests();
            assertEquals(499, arrived.get(new TargetId("target-499")));
            assertTrue(arrived.size() >= 50, "targets: " + arrived.size());
        }

        /** Guards against a number below 0 that arrives as 65,535 calls and empties an engine. */
        @Test
        void numbersOutsideTheFieldAreClamped() throws IOException, MalformedMessageException {
            Map<TargetId, Integer> calls =
                    Map.of(new TargetId("i-1"), -1, new TargetId("i-2"), 70_000);
            Map<TargetId, Integer> arrived =
                    decode(LoadCodec.encode(message(calls))).report().requests();
            assertEquals(0, arrived.get(new TargetId("i-1")));
            assertEquals(65_535, arrived.get(new TargetId("i-2")));
        }

        /** Guards against reads that are lost for good because many came in a short time. */
        @Test
        void newestReadsFitBesideManyTargets() throws IOException, MalformedMessageException {
            Map<TargetId, Integer> calls = new HashMap<>();
            List<CachedPrefix> reads = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                calls.put(new TargetId("target-" + i), i);
                reads.add(read("target-499", i));
            }
            byte[] bytes = LoadCodec.encode(message(calls, reads));
            assertTrue(bytes.length <= LoadCodec.MAX_BYTES, "bytes: " + bytes.length);
            List<CachedPrefix> arrived = decode(bytes).report().cachedPrefixes();
            assertEquals(read("target-499", 499), arrived.get(0));
            assertTrue(arrived.size() >= 40, "reads: " + arrived.size());
        }
    }

    @Nested
    final class OtherBytes {
        /** Guards against a receiver that ends because of bytes that anybody can send. */
        @Test
        void randomBytesAreRejectedOrRead() {
            Random random = new Random(5);
            for (int i = 0; i < 20_000; i++) {
                byte[] bytes = new byte[random.nextInt(80)];
                random.nextBytes(bytes);
                if (bytes.length > 0 && random.nextBoolean()) {
                    bytes[0] = 1;
                }
                try {
                    decode(bytes);
                } catch (MalformedMessageException e) {
                    assertTrue(e.getMessage() != null);
                }
            }
        }

        /** Guards against a message that was cut and is taken for whole. */
        @Test
        void cutMessageIsRejected() throws IOException {
            byte[] bytes = LoadCodec.encode(message(Map.of(new TargetId("i-1"), 3)));
            byte[] cut = Arrays.copyOf(bytes, bytes.length - 1);
            assertThrows(MalformedMessageException.class, () -> decode(cut));
        }

        /** Guards against fields of a later version that are read as those of this one. */
        @Test
        void otherVersionIsRejected() throws IOException {
            byte[] bytes = LoadCodec.encode(message(Map.of()));
            bytes[0] = 2;
            assertThrows(MalformedMessageException.class, () -> decode(bytes));
        }
    }
}
