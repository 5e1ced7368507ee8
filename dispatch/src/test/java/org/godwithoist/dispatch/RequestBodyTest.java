package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RequestBodyTest {
    @Nested
    final class Pieces {
        /** Guards against bytes that are lost or moved where a piece crosses a block. */
        @Test
        void ofAnySizeAreJoinedInOrder() throws IOException {
            Random random = new Random(1);
            for (int run = 0; run < 50; run++) {
                ByteArrayOutputStream expected = new ByteArrayOutputStream();
                int expectedSize = random.nextInt(3) * 10_000;
                RequestBody.Builder blocks = new RequestBody.Builder(expectedSize);
                for (int i = random.nextInt(20); i > 0; i--) {
                    byte[] piece = new byte[random.nextInt(20_000)];
                    random.nextBytes(piece);
                    expected.write(piece, 0, piece.length);
                    InputStream input = new ByteArrayInputStream(piece);
                    while (blocks.readFrom(input) >= 0) {
                        assertTrue(blocks.size() <= expected.size());
                    }
                }
                assertEquals(expected.size(), blocks.size());
                RequestBody body = blocks.build();
                assertEquals(expected.size(), body.length());
                int middle = random.nextInt(body.length() + 1);
                ByteArrayOutputStream parts = new ByteArrayOutputStream();
                body.write(0, middle, parts::write);
                assertEquals(middle, parts.size());
                body.write(middle, body.length(), parts::write);
                assertArrayEquals(expected.toByteArray(), parts.toByteArray());
            }
        }
    }
}
