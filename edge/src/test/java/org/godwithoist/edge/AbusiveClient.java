package org.godwithoist.edge;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.client.ClientBehavior;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.LargeResponseRunner;

/** Behaviour of a client that uses more of a daemon than its requests need. */
enum AbusiveClient implements ClientBehavior {
    /** Sends a head of legal size with very many short lines, but not the body. */
    SHORT_HEADER_LINES {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.BOOKING + "x") + "Content-Length: 1000\r\n");
            write(output, ("X-Filler: " + "v".repeat(68) + "\r\n").repeat(SHORT_LINES) + "\r\n");
        }
    },
    /** Sends very many short lines that are no header fields, and does not end the head. */
    MALFORMED_LINES {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.BOOKING + "x"));
            write(output, ("no-header-field" + "v".repeat(63) + "\r\n").repeat(SHORT_LINES));
        }
    },
    /** Sends a head that consists of one line without end. */
    ENDLESS_HEAD {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, "GET " + ConfigText.STATUS + "x".repeat(16_000));
            sendSlowly(output, over);
        }
    },
    /** Sends header fields without end. */
    HEAD_OVER_LIMIT {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("GET", ConfigText.STATUS + "x"));
            while (!over.getAsBoolean()) {
                write(output, "X-Filler: " + "v".repeat(8000) + "\r\n");
            }
        }
    },
    /** Sends empty lines without end in place of a request. */
    EMPTY_LINES {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            while (!over.getAsBoolean()) {
                write(output, "\r\n".repeat(100));
            }
        }
    },
    /** Sends a body in a few large chunks and stops just short of its end. */
    LARGE_CHUNKS {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, chunkedHead());
            int size = ThreadLocalRandom.current().nextInt(MAX_CHUNK_BYTES);
            String chunk = Integer.toHexString(size + 1) + "\r\n" + "x".repeat(size + 1) + "\r\n";
            write(output, chunk.repeat(LARGE_CHUNK_COUNT));
        }
    },
    /** Sends a body in chunks of one byte and stops just short of its end. */
    ONE_BYTE_CHUNKS {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, chunkedHead());
            int count = ThreadLocalRandom.current().nextInt(MAX_CHUNK_BYTES);
            write(output, "1\r\nx\r\n".repeat(count));
        }
    },
    /** Does not read the stream that it has asked for. */
    SLOW_READER_OF_STREAM {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            String path = ConfigText.NON_RESUMABLE + LargeResponseRunner.LARGE_STREAM;
            write(output, head("POST", path) + "Content-Length: 4\r\n\r\ntext");
            awaitEnd(over);
        }
    },
    /** Does not read the large response that it has asked for. */
    SLOW_READER_OF_RESPONSE {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("GET", ConfigText.STATUS + LargeResponseRunner.LARGE) + "\r\n");
            awaitEnd(over);
        }
    },
    /** Announces a large body and sends a byte of it now and then. */
    SLOW_WRITER {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.BOOKING + "x"));
            write(output, "Content-Length: 90000\r\n\r\n");
            sendSlowly(output, over);
        }
    },
    /** Sends the shortest header fields that there are, and does not end the head. */
    SHORTEST_HEADER_LINES {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("GET", ConfigText.STATUS + "x"));
            write(output, "a:\r\n".repeat(SHORTEST_LINES));
        }
    },
    /** Has a request with a long line answered and keeps the connection without using it. */
    IDLE_AFTER_LONG_LINE {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("GET", ConfigText.STATUS + "x"));
            write(output, "X-Filler: " + "v".repeat(15_000) + "\r\n\r\n");
        }
    },
    /** Names thousands of parts of a prompt and does not read the stream that it has asked for. */
    MANY_PROMPT_PARTS {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            String path = ConfigText.RESUMABLE + LargeResponseRunner.LARGE_STREAM;
            write(output, head("POST", path) + "Content-Length: 4\r\n");
            write(output, "X-Godwithoist-Prompt-Prefix: " + promptParts() + "\r\n\r\ntext");
            awaitEnd(over);
        }
    },
    /** Sends chunk extensions of the longest permitted line, and does not end the second one. */
    LONG_CHUNK_EXTENSIONS {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, chunkedHead());
            write(output, "1;" + "e".repeat(16_000) + "\r\nx\r\n1;" + "e".repeat(16_000));
        }
    },
    /** Sends chunks of one byte with a long extension each, as fast as it can. */
    EXTENSION_OF_EACH_CHUNK {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, chunkedHead());
            String chunks = ("1;" + "e".repeat(1000) + "\r\nx\r\n").repeat(16);
            while (!over.getAsBoolean()) {
                write(output, chunks);
            }
        }
    },
    /** Sends trailers of the longest permitted line and does not end them. */
    LONG_TRAILERS {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, chunkedHead() + "1\r\nx\r\n0\r\n");
            write(output, ("T: " + "v".repeat(16_000) + "\r\n").repeat(TRAILERS));
        }
    },
    /** Announces the largest body, asks whether it may send it, and sends nothing. */
    ANNOUNCED_BODY {
        @Override
        int maxBodyBytes() {
            return LARGE_BODY_BYTES;
        }

        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, largeHead(LARGE_BODY_BYTES) + "Expect: 100-continue\r\n\r\n");
        }
    },
    /** Sends the largest body but for its last byte. */
    LARGE_BODY_SHORT_OF_ITS_END {
        @Override
        int maxBodyBytes() {
            return LARGE_BODY_BYTES;
        }

        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, largeHead(LARGE_BODY_BYTES) + "\r\n");
            writeBody(output, LARGE_BODY_BYTES - 1);
        }
    },
    /** Sends the largest body in chunks of a megabyte, without the last chunk. */
    MEGABYTE_CHUNKS {
        @Override
        int maxBodyBytes() {
            return LARGE_BODY_BYTES;
        }

        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, chunkedHead());
            for (int i = 0; i < LARGE_BODY_BYTES / MEGABYTE; i++) {
                write(output, Integer.toHexString(MEGABYTE) + "\r\n");
                writeBody(output, MEGABYTE);
                write(output, "\r\n");
            }
        }
    },
    /** Sends whole bodies of three to four megabytes, which is legal. */
    WHOLE_LARGE_BODY {
        @Override
        int maxBodyBytes() {
            return LARGE_BODY_BYTES;
        }

        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            int size = 3 * MEGABYTE + ThreadLocalRandom.current().nextInt(MEGABYTE);
            write(output, largeHead(size) + "Connection: close\r\n\r\n");
            writeBody(output, size);
        }
    },
    /** Announces the largest body and sends two or three bytes in a millisecond. */
    LARGE_BODY_AT_A_TRICKLE {
        @Override
        int maxBodyBytes() {
            return LARGE_BODY_BYTES;
        }

        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, largeHead(LARGE_BODY_BYTES) + "\r\n");
            sendSteadily(output, 250, BYTE_INTERVAL, over);
        }
    },
    /** Sends a body of ordinary size just faster than what counts as a stall of a crowd. */
    STEADY_WRITER {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.BOOKING + "x"));
            write(output, "Content-Length: 90000\r\n\r\n");
            sendSteadily(output, 1100, STEADY_INTERVAL, over);
        }
    },
    /** Sends a body of ordinary size at the rate of a slow link. */
    STEADY_WRITER_AT_A_SLOW_LINK {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.BOOKING + "x"));
            write(output, "Content-Length: 90000\r\n\r\n");
            sendSteadily(output, 14_000, STEADY_INTERVAL, over);
        }
    },
    /** Leaves in the middle of its body, and comes back. */
    LEAVING_WRITER {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.BOOKING + "x"));
            write(output, "Content-Length: 90000\r\n\r\n");
            writeBody(output, 10_000);
            throw new IOException("the client leaves");
        }
    },
    /** Asks for a hundred responses at once and reads none. */
    PIPELINED_READS {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            for (int i = 0; i < 100; i++) {
                write(output, head("GET", ConfigText.STATUS + "x") + "\r\n");
            }
            awaitEnd(over);
        }
    },
    /** Sends a request to an engine but for the last byte of its prompt. */
    PROMPT_SHORT_OF_ITS_END {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("POST", ConfigText.RESUMABLE + "x"));
            write(output, "Content-Length: " + PROMPT_BODY_BYTES + "\r\n\r\n");
            writeBody(output, PROMPT_BODY_BYTES - 1);
        }
    },
    /** Reads four kilobytes of a large response in a second. */
    STEADY_READER {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, head("GET", ConfigText.STATUS + LargeResponseRunner.LARGE) + "\r\n");
        }

        @Override
        public void receive(InputStream input, BooleanSupplier over) throws IOException {
            byte[] piece = new byte[800];
            while (!over.getAsBoolean() && input.read(piece) >= 0) {
                Tasks.sleep(STEADY_INTERVAL);
            }
        }
    };

    /** Lines of a head that is within the limit of its size and of its number of fields. */
    private static final int SHORT_LINES = 190;

    /** Limit of the varied sizes of bodies in chunks: small ones take what large ones leave. */
    private static final int MAX_CHUNK_BYTES = 32_000;

    private static final int LARGE_CHUNK_COUNT = 3;

    /** Lines of four bytes that a head of legal size holds beside its other fields. */
    private static final int SHORTEST_LINES = 4000;

    /** Trailers that the daemon accepts. */
    private static final int TRAILERS = 19;

    /** Distinct names of prompt parts that a head of legal size holds. */
    private static final int PROMPT_PARTS = 3200;

    private static final int MEGABYTE = 1 << 20;
    private static final int PIECE_BYTES = 16_384;

    /** Limit of a body on the users' platform. */
    static final int LARGE_BODY_BYTES = 4 * MEGABYTE;

    /** Size of a prompt that a legal client sends with its request. */
    private static final int PROMPT_BODY_BYTES = 20_000;

    private static final Duration BYTE_INTERVAL = Duration.ofMillis(100);

    /** Less than a quarter of the shortest stall. */
    private static final Duration STEADY_INTERVAL = Duration.ofMillis(200);

    /** Returns the limit of a body in the catalog of the daemon. */
    int maxBodyBytes() {
        return ConfigText.MAX_BODY_BYTES;
    }

    private static String head(String method, String path) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + ConfigText.HOST
                + "\r\nX-Api-Key: "
                + ConfigText.API_KEY
                + "\r\nX-Godwithoist-Attempt-Id: abusive-"
                + System.nanoTime()
                + "\r\nX-Godwithoist-Deadline-Ms: 30000\r\n";
    }

    private static String largeHead(int bodyBytes) {
        return head("POST", ConfigText.BOOKING + "x") + "Content-Length: " + bodyBytes + "\r\n";
    }

    private static String chunkedHead() {
        return head("POST", ConfigText.BOOKING + "x") + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String promptParts() {
        return IntStream.range(0, PROMPT_PARTS)
                .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX))
                .collect(Collectors.joining(",", "", ",z"));
    }

    private static void writeBody(OutputStream output, int bytes) throws IOException {
        byte[] piece = new byte[Math.min(bytes, PIECE_BYTES)];
        for (int left = bytes; left > 0; left -= piece.length) {
            output.write(piece, 0, Math.min(left, piece.length));
        }
    }

    private static void sendSteadily(
            OutputStream output, int bytes, Duration interval, BooleanSupplier over)
            throws IOException {
        while (!over.getAsBoolean()) {
            Tasks.sleep(interval);
            writeBody(output, bytes);
        }
    }

    private static void sendSlowly(OutputStream output, BooleanSupplier over) throws IOException {
        while (!over.getAsBoolean()) {
            Tasks.sleep(BYTE_INTERVAL);
            write(output, "x");
        }
    }

    private static void awaitEnd(BooleanSupplier over) {
        while (!over.getAsBoolean()) {
            Tasks.sleep(BYTE_INTERVAL);
        }
    }
}
