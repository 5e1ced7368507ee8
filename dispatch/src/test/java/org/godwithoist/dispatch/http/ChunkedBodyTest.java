package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ChunkedBodyTest {
    private static final int BUFFER_BYTES = 512;
    private static final int MAX_FREE_FRAMING = 1000;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] read(byte[] bytes) throws IOException {
        InputStream input = new ByteArrayInputStream(bytes);
        var buffer = new SessionInputBufferImpl(BUFFER_BYTES);
        return new ChunkedBody(buffer, input, MAX_FREE_FRAMING).readAllBytes();
    }

    @Nested
    final class WellFormedBodies {
        /** Guards against data that is lost, moved or added where a chunk ends. */
        @Test
        void areReadAsTheLibraryReadsThem() throws IOException {
            SplittableRandom random = new SplittableRandom(1);
            for (int run = 0; run < 300; run++) {
                ByteArrayOutputStream chunks = new ByteArrayOutputStream();
                for (int i = random.nextInt(6); i > 0; i--) {
                    byte[] data = new byte[1 + random.nextInt(3000)];
                    random.nextBytes(data);
                    String zeros = "0".repeat(random.nextInt(4));
                    String extension = random.nextBoolean() ? "" : " ;a=b";
                    String size = zeros + Integer.toHexString(data.length) + extension;
                    chunks.writeBytes(bytes(size + "\r\n"));
                    chunks.writeBytes(data);
                    chunks.writeBytes(bytes("\r\n"));
                }
                chunks.writeBytes(bytes("0\r\n" + "T: v\r\n".repeat(random.nextInt(3)) + "\r\n"));
                byte[] all = chunks.toByteArray();
                var library =
                        new ChunkedInputStream(
                                new SessionInputBufferImpl(BUFFER_BYTES),
                                new ByteArrayInputStream(all));
                assertArrayEquals(library.readAllBytes(), read(all));
            }
        }

        /** Guards against a body that takes a part of the next request. */
        @Test
        void endWithTheirEmptyLine() throws IOException {
            InputStream input = new ByteArrayInputStream(bytes("1\r\nx\r\n0\r\n\r\nGET"));
            var buffer = new SessionInputBufferImpl(BUFFER_BYTES);
            ChunkedBody body = new ChunkedBody(buffer, input, MAX_FREE_FRAMING);
            assertEquals("x", new String(body.readAllBytes(), StandardCharsets.US_ASCII));
            assertEquals(-1, body.read());
            assertEquals('G', buffer.read(input));
        }
    }

    @Nested
    final class MalformedBodies {
        /** Guards against a part of a body, or of another message, that counts as whole. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "1",
                    "1\r\n",
                    "1\r\nx",
                    "1\r\nx\r\n",
                    "0",
                    "0\r\n",
                    "0\r\nT: v\r\n",
                    "0\r\nT",
                    "x\r\n",
                    "\r\n",
                    "-1\r\n",
                    "1 1\r\nx",
                    "8000000000000000\r\n",
                    "1\r\nxx\r\n",
                    "1\r\nx\rx",
                    "0\r\nHTTP/1.1 200 OK\r\n\r\n",
                    "0\r\n: v\r\n\r\n",
                    "0\r\n\rx"
                })
        void areRejected(String text) {
            assertThrows(MalformedChunkCodingException.class, () -> read(bytes(text)));
        }
    }

    /** Load: a peer that sends much around little data. */
    @Nested
    final class Framing {
        private void assertTooMuch(String text) {
            assertThrows(ChunkedBody.TooMuchFramingException.class, () -> read(bytes(text)), text);
        }

        /** Guards against a daemon that reads sizes, extensions or trailers without end. */
        @Test
        void isLimited() {
            String longText = "x".repeat(MAX_FREE_FRAMING);
            assertTooMuch("1;" + longText);
            assertTooMuch("0".repeat(MAX_FREE_FRAMING + 1));
            assertTooMuch("0\r\nT: " + longText);
            assertTooMuch("0\r\n" + "T: v\r\n".repeat(MAX_FREE_FRAMING));
            assertTooMuch(("1;" + "x".repeat(50) + "\r\nx\r\n").repeat(MAX_FREE_FRAMING));
        }

        /** Guards against a body that is refused because of the size of its chunks. */
        @Test
        void permitsChunksOfAByte() throws IOException {
            int size = 100 * MAX_FREE_FRAMING;
            assertEquals(size, read(bytes("1\r\nx\r\n".repeat(size) + "0\r\n\r\n")).length);
        }
    }
}
