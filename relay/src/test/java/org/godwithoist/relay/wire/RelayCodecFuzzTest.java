package org.godwithoist.relay.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.godwithoist.core.fuzz.DecoderFuzzer;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.relay.TableName;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link RelayCodec} with many inputs; any process can connect to the relay. */
final class RelayCodecFuzzTest {
    private static final int PAGES = 300;

    private static StoreVersion version(long number) {
        return new StoreVersion(new StoreEra(1), number);
    }

    private static RelayClient.Request request(String table, long after, int waitMs) {
        return new RelayClient.Request(
                new TableName(table), version(after), Duration.ofMillis(waitMs));
    }

    private static FeedPage page(SplittableRandom random) {
        List<FeedRow> rows = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            byte[] value = new byte[random.nextInt(200)];
            random.nextBytes(value);
            rows.add(new FeedRow("key-" + i, value, random.nextLong(), random.nextBoolean()));
        }
        return new FeedPage(rows, version(random.nextLong()));
    }

    @Nested
    final class ChangedMessages {
        /** Guards against a leader that fails on a request from an arbitrary process. */
        @Test
        void requestsAreDecodedOrRejected() throws Exception {
            List<byte[]> corpus =
                    List.of(
                            RelayCodec.encode(request("operator", 109, 500)),
                            RelayCodec.encode(request("targets", 0, 0)));
            new DecoderFuzzer(corpus, List.of(IOException.class)).check(RelayCodec::decodeRequest);
        }

        /** Guards against a member that fails on a response, or runs out of memory. */
        @Test
        void responsesAreDecodedOrRejected() throws Exception {
            SplittableRandom random = new SplittableRandom(3);
            List<byte[]> corpus = new ArrayList<>();
            corpus.add(RelayCodec.encode(Optional.empty()));
            for (int i = 0; i < 5; i++) {
                corpus.add(RelayCodec.encode(Optional.of(page(random))));
            }
            new DecoderFuzzer(corpus, List.of(IOException.class)).check(RelayCodec::decodeResponse);
        }
    }

    @Nested
    final class RoundTrips {
        /** Guards against a page that a member decodes as another one than its leader sent. */
        @Test
        void responsesAreDecodedAsTheyWereEncoded() throws IOException {
            SplittableRandom random = new SplittableRandom(5);
            for (int i = 0; i < PAGES; i++) {
                FeedPage sent = page(random);
                FeedPage decoded =
                        RelayCodec.decodeResponse(RelayCodec.encode(Optional.of(sent)))
                                .orElseThrow();
                assertEquals(sent.version(), decoded.version());
                assertEquals(sent.rows().size(), decoded.rows().size());
                for (int j = 0; j < sent.rows().size(); j++) {
                    assertEqualRows(sent.rows().get(j), decoded.rows().get(j));
                }
            }
        }

        private static void assertEqualRows(FeedRow sent, FeedRow decoded) {
            assertEquals(sent.key(), decoded.key());
            assertEquals(sent.version(), decoded.version());
            assertEquals(sent.deleted(), decoded.deleted());
            assertArrayEquals(sent.value(), decoded.value());
        }

        /** Guards against a request that a leader decodes as another one than its member sent. */
        @Test
        void requestsAreDecodedAsTheyWereEncoded() throws IOException {
            SplittableRandom random = new SplittableRandom(7);
            for (int i = 0; i < PAGES; i++) {
                RelayClient.Request sent =
                        request("table-" + i, random.nextLong(), random.nextInt(10_000));
                assertEquals(sent, RelayCodec.decodeRequest(RelayCodec.encode(sent)));
            }
        }
    }
}
