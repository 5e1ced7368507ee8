package org.godwithoist.relay.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RelayCodecTest {
    private static StoreVersion version(long number) {
        return new StoreVersion(new StoreEra(1), number);
    }

    private static FeedPage page(int rows, int valueBytes) {
        List<FeedRow> list = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            list.add(new FeedRow("row-" + i, new byte[valueBytes], i + 1, false));
        }
        return new FeedPage(list, version(rows));
    }

    @Nested
    final class ValidResponses {
        /** Guards against rows that are lost or changed on the way to a member. */
        @Test
        void rowsAreDecoded() throws IOException {
            byte[] bytes = RelayCodec.encode(Optional.of(page(500, 4000)));
            FeedPage decoded = RelayCodec.decodeResponse(bytes).orElseThrow();
            assertEquals(500, decoded.rows().size());
            assertEquals("row-499", decoded.rows().get(499).key());
            assertEquals(4000, decoded.rows().get(499).value().length);
        }
    }

    @Nested
    final class InvalidResponses {
        /** Guards against a few compressed bytes that use up the memory of a member. */
        @Test
        void responseThatDecodesToTooMuchIsRejected() throws IOException {
            byte[] bytes = RelayCodec.encode(Optional.of(page(40, 1 << 17)));
            assertThrows(IOException.class, () -> RelayCodec.decodeResponse(bytes));
            byte[] manyRows = RelayCodec.encode(Optional.of(page(100_000, 0)));
            assertThrows(IOException.class, () -> RelayCodec.decodeResponse(manyRows));
        }

        /** Guards against a member that fails on arbitrary bytes from the network. */
        @Test
        void changedBytesAreRejectedOrDecoded() throws IOException {
            byte[] valid = RelayCodec.encode(Optional.of(page(3, 100)));
            SplittableRandom random = new SplittableRandom(11);
            for (int i = 0; i < 20_000; i++) {
                byte[] bytes = Arrays.copyOf(valid, random.nextInt(valid.length + 1));
                for (int changes = random.nextInt(4); changes > 0 && bytes.length > 0; changes--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
                decodeOrReject(bytes);
            }
        }

        private static void decodeOrReject(byte[] bytes) {
            try {
                RelayCodec.decodeResponse(bytes);
            } catch (IOException e) {
                // Rejected, which is as good as decoded; any other exception fails the test.
                return;
            }
        }
    }
}
