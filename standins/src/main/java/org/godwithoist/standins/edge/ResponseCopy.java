package org.godwithoist.standins.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.http.MessageWriter;

/**
 * What a runner sends when it repeats a response. A copy has the id of the request that was
 * answered before, unless stated otherwise, and a text that no proper response contains.
 */
public enum ResponseCopy {
    /** One copy with a length. */
    ONE_WITH_LENGTH(1, Framing.LENGTH, Size.SMALL, true, true),
    /** One copy in chunks. */
    ONE_IN_CHUNKS(1, Framing.CHUNKS, Size.SMALL, true, true),
    /** Five copies with a length, one after the other. */
    FIVE(5, Framing.LENGTH, Size.SMALL, true, true),
    /** One large copy with a length. */
    LARGE_WITH_LENGTH(1, Framing.LENGTH, Size.LARGE, true, true),
    /** One large copy in chunks. */
    LARGE_IN_CHUNKS(1, Framing.CHUNKS, Size.LARGE, true, true),
    /** One copy that arrives in small parts over 1.2 s. */
    SLOW(1, Framing.LENGTH, Size.SLOW, true, true),
    /** One copy that does not say which request it belongs to. */
    WITHOUT_ID(1, Framing.LENGTH, Size.SMALL, false, true),
    /** One copy with neither a length nor chunks; the next response follows it directly. */
    UNFRAMED(1, Framing.NONE, Size.SMALL, true, true),
    /** One copy with neither a length nor chunks, whose end is the end of the connection. */
    UNFRAMED_THEN_CLOSE(1, Framing.NONE, Size.SMALL, true, false),
    /** Half of a copy with a length, and the end of the connection. */
    HALF_THEN_CLOSE(1, Framing.LENGTH, Size.HALF, true, false),
    /** One copy that goes on until the daemon closes the connection. */
    ENDLESS(1, Framing.NONE, Size.ENDLESS, true, false);

    /** Text in the body of each copy. */
    public static final String TEXT = "copy of an earlier response";

    private enum Framing {
        LENGTH,
        CHUNKS,
        NONE
    }

    /** Size of a copy's body, and in which parts it is sent. */
    private enum Size {
        SMALL(1, 1, Duration.ZERO),
        LARGE(10_000, 1, Duration.ZERO),
        SLOW(1000, 24, Duration.ofMillis(50)),
        HALF(1, 1, Duration.ZERO),
        ENDLESS(100, 1, Duration.ofMillis(5));

        private final int texts;
        private final int parts;
        private final Duration pause;

        Size(int texts, int parts, Duration pause) {
            this.texts = texts;
            this.parts = parts;
            this.pause = pause;
        }

        byte[] body() {
            return TEXT.repeat(texts).getBytes(StandardCharsets.US_ASCII);
        }
    }

    private final int count;
    private final Framing framing;
    private final Size size;
    private final boolean hasId;
    private final boolean connectionStaysOpen;

    ResponseCopy(
            int count, Framing framing, Size size, boolean hasId, boolean connectionStaysOpen) {
        this.count = count;
        this.framing = framing;
        this.size = size;
        this.hasId = hasId;
        this.connectionStaysOpen = connectionStaysOpen;
    }

    /** Returns whether the connection stays open, so that the next response can follow. */
    public boolean connectionStaysOpen() {
        return connectionStaysOpen;
    }

    /**
     * Writes the copies.
     *
     * @param attemptId id of the request that was answered before
     */
    void write(MessageWriter writer, String attemptId) throws IOException {
        for (int i = 0; i < count; i++) {
            writeHead(writer, attemptId);
            do {
                writeBody(writer);
            } while (size == Size.ENDLESS);
            writer.flush();
        }
    }

    private void writeHead(MessageWriter writer, String attemptId) throws IOException {
        writer.startLine("HTTP/1.1 200 Status");
        if (hasId) {
            writer.field("X-Godwithoist-Attempt-Id", attemptId);
        }
        writer.field("X-Godwithoist-Runner-Signature", "signed-by-copy");
        switch (framing) {
            case LENGTH -> writer.field("Content-Length", Integer.toString(size.body().length));
            case CHUNKS -> writer.field("Transfer-Encoding", "chunked");
            case NONE -> writer.field("Content-Type", "text/plain");
        }
        writer.endHead();
    }

    private void writeBody(MessageWriter writer) throws IOException {
        byte[] body = size.body();
        int length = size == Size.HALF ? body.length / 2 : body.length;
        int partLength = length / size.parts;
        for (int from = 0; from < length; from += partLength) {
            int n = Math.min(partLength, length - from);
            if (framing == Framing.CHUNKS) {
                writer.chunk(body, from, n);
            } else {
                writer.bytes(body, from, n);
            }
            writer.flush();
            Tasks.sleep(size.pause);
        }
        if (framing == Framing.CHUNKS) {
            writer.lastChunk();
        }
    }
}
