package org.godwithoist.edge;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.RequestConstraints;
import org.godwithoist.dispatch.http.ConnectionActivity;
import org.godwithoist.dispatch.http.IdleConnections;
import org.godwithoist.dispatch.http.MessageReader;
import org.godwithoist.dispatch.http.MessageWriter;
import org.godwithoist.dispatch.http.ReadAheadSocket;
import org.godwithoist.dispatch.http.StalledConnections;

/** Serves the readiness and metrics endpoints over HTTP. Thread-safe. */
final class StatusServer {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_FIELDS = 50;

    /** What the system buffers of the responses to a client that does not read them. */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    /**
     * A request of the platform arrives in one piece, so that one that does not gives way at once
     * if others need the room.
     */
    private static final RequestConstraints CONSTRAINTS =
            RequestConstraints.builder()
                    .maxReceiveStall(Duration.ofMillis(100))
                    .maxSendStall(Duration.ofMillis(500))
                    .build();

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;

    /** HTTP status and plain text body of a response. */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, byte[] body) {
        static Response of(int status, String text) {
            return new Response(status, text.getBytes(StandardCharsets.UTF_8));
        }

        static Response ok(byte[] body) {
            return new Response(HTTP_OK, body);
        }
    }

    /** Creates the response to each request of an endpoint. */
    @FunctionalInterface
    interface ResponseSource {
        Response response() throws IOException;
    }

    private final Map<String, ResponseSource> sources;
    private final IdleConnections idle;
    private final StalledConnections stalled;
    private final EventLog log;
    private final Ticker ticker;

    /**
     * Creates a server.
     *
     * @param sources responses by path
     * @param idle receives the connections while they wait for a request
     * @param stalled receives the connections that are open
     */
    StatusServer(
            Map<String, ResponseSource> sources,
            IdleConnections idle,
            StalledConnections stalled,
            EventLog log,
            Ticker ticker) {
        this.sources = sources;
        this.idle = idle;
        this.stalled = stalled;
        this.log = log;
        this.ticker = ticker;
    }

    void serve(Socket connection) {
        try (ReadAheadSocket socket = new ReadAheadSocket(connection, "pages", ticker)) {
            socket.limitSendBuffer(SEND_BUFFER_BYTES);
            ConnectionActivity activity = new ConnectionActivity(socket, CONSTRAINTS, ticker);
            stalled.add(activity);
            try {
                serveAll(socket, activity);
            } finally {
                stalled.remove(activity);
            }
        } catch (IOException | HttpException e) {
            log.event("page_failed").with("reason", String.valueOf(e.getMessage())).write();
        }
    }

    private void serveAll(ReadAheadSocket socket, ConnectionActivity activity)
            throws IOException, HttpException {
        MessageReader reader = new MessageReader(activity.input(), MAX_LINE_BYTES, MAX_FIELDS);
        MessageWriter writer = new MessageWriter(activity.output());
        boolean open = true;
        while (open && awaitRequest(socket, reader)) {
            socket.setReadDeadline(ticker.nanos() + IDLE_TIMEOUT.toNanos());
            activity.startRequest();
            activity.enter(ConnectionActivity.Phase.RECEIVING);
            String path = reader.readRequestPath();
            activity.enter(ConnectionActivity.Phase.OTHER);
            open = path != null;
            if (open) {
                respond(path, writer);
            }
        }
    }

    private boolean awaitRequest(ReadAheadSocket socket, MessageReader reader) {
        if (reader.hasUnreadBytes()) {
            return true;
        }
        idle.add(socket);
        boolean arrived = socket.awaitInput(ticker.nanos() + IDLE_TIMEOUT.toNanos());
        return idle.claim(socket) && arrived;
    }

    private void respond(String path, MessageWriter writer) throws IOException {
        ResponseSource source = sources.get(path);
        Response response =
                source == null ? Response.of(HTTP_NOT_FOUND, "no such page\n") : source.response();
        writer.startLine("HTTP/1.1 " + response.status() + " Status");
        writer.field("Content-Type", "text/plain");
        writer.field("Content-Length", Integer.toString(response.body().length));
        writer.endHead();
        writer.bytes(response.body(), 0, response.body().length);
        writer.flush();
    }
}
