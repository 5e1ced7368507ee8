package org.godwithoist.standins.edge;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.godwithoist.dispatch.http.MessageWriter;

/** Stand-in for a runner with large and small responses, by the path of the request. */
public final class LargeResponseRunner implements Closeable {
    /** End of the paths to which the runner sends a large response. */
    public static final String LARGE = "large";

    /** End of the paths to which the runner sends a large stream of events. */
    public static final String LARGE_STREAM = "large-stream";

    /** Body of a small response. */
    public static final String SMALL_BODY = "small response";

    private static final long START = 1_700_000_000_000L;

    /** With the size of a piece, more than the kernel buffers of a loopback connection hold. */
    private static final int PIECES = 256;

    private static final int PIECE_BYTES = 16_000;

    private final String id;
    private final String service;
    private final RunnerMessages messages;
    private final MessageServer server;

    /** Starts a runner on a free port. */
    public LargeResponseRunner(String id, String service) throws IOException {
        this.id = id;
        this.service = service;
        messages = new RunnerMessages(id, START);
        server = new MessageServer("runner-" + id, this::serve);
    }

    /** Returns the JSON value of the runner's row in the store. */
    public String entry() {
        return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                        .formatted(service, server.endpoint())
                + "\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":"
                + START
                + "}";
    }

    private boolean serve(
            ClassicHttpRequest request, byte[] body, MessageServer.Connection connection)
            throws IOException {
        Map<String, String> fields = new HashMap<>();
        for (Header h : request.getHeaders()) {
            fields.put(h.getName().toLowerCase(Locale.ROOT), h.getValue());
        }
        String attempt = fields.getOrDefault("x-godwithoist-attempt-id", "");
        MessageWriter writer = connection.writer();
        if (!id.equals(fields.get("x-godwithoist-expect-runner"))) {
            return messages.writeMisdirected(writer, attempt);
        }
        String path = request.getRequestUri();
        if (RunnerMessages.isAboutItself(path)) {
            return messages.writeOwnState(writer, path);
        }
        if (path.endsWith(LARGE_STREAM)) {
            return writeStream(writer, attempt);
        }
        return path.endsWith(LARGE)
                ? writeLarge(writer, attempt)
                : messages.writeText(writer, 200, attempt, SMALL_BODY);
    }

    private boolean writeLarge(MessageWriter writer, String attempt) throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.field("Content-Length", Integer.toString(PIECES * PIECE_BYTES));
        writer.endHead();
        byte[] piece = "x".repeat(PIECE_BYTES).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < PIECES; i++) {
            writer.bytes(piece, 0, piece.length);
        }
        writer.flush();
        return true;
    }

    private boolean writeStream(MessageWriter writer, String attempt) throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.field("Content-Type", "text/event-stream");
        writer.field("Transfer-Encoding", "chunked");
        writer.endHead();
        String filler = "x".repeat(PIECE_BYTES);
        for (int i = 1; i <= PIECES; i++) {
            String event = "id: " + i + "\ndata: " + filler + "\n\n";
            byte[] bytes = event.getBytes(StandardCharsets.US_ASCII);
            writer.chunk(bytes, 0, bytes.length);
            writer.flush();
        }
        writer.lastChunk();
        writer.flush();
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
