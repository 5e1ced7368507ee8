package org.godwithoist.standins.edge;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.http.MessageWriter;

/** Stand-in for a runner of the platform. Thread-safe. */
public final class RunnerStandin implements Closeable {
    private static final Duration HANG = Duration.ofSeconds(20);

    /**
     * A request that the runner executed.
     *
     * @param id attempt id, empty if the request had none
     * @param fields header fields; names are in lower case
     * @param body body decoded as UTF-8
     */
    public record Run(String id, String uri, Map<String, String> fields, String body) {}

    private final String id;
    private final String service;
    private final int events;
    private final Duration gap;
    private final MessageServer server;
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final AtomicInteger cancelled = new AtomicInteger();
    private volatile RunnerFault fault = RunnerFault.NONE;

    /**
     * Starts a runner on a free port.
     *
     * @param events number of events in a response; 0 for a response that is not a stream
     * @param gap delay before the response and between its events
     */
    public RunnerStandin(String id, String service, int events, Duration gap) throws IOException {
        this.id = id;
        this.service = service;
        this.events = events;
        this.gap = gap;
        server = new MessageServer("runner-" + id, this::serve);
    }

    /** Sets the fault for all requests that arrive from now on. */
    public void fault(RunnerFault next) {
        fault = next;
    }

    /** Returns a live view of the requests that this runner executed, in order of execution. */
    public List<Run> runs() {
        return runs;
    }

    /** Returns the number of hanging requests whose connection the daemon closed. */
    public int cancelled() {
        return cancelled.get();
    }

    /** Returns the runner id. */
    public String id() {
        return id;
    }

    /** Returns the loopback address that the runner listens on. */
    public Endpoint endpoint() {
        return server.endpoint();
    }

    /** Returns the JSON value of the runner's row in the store. */
    public String entry(String zone, String state) {
        return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                        .formatted(service, endpoint(), zone)
                + "\"slots\":8,\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1}"
                        .formatted(state);
    }

    private boolean serve(
            ClassicHttpRequest request, byte[] body, MessageServer.Connection connection)
            throws IOException {
        Map<String, String> fields = new HashMap<>();
        for (Header h : request.getHeaders()) {
            fields.put(h.getName().toLowerCase(Locale.ROOT), h.getValue());
        }
        RunnerFault now = fault;
        MessageWriter writer = connection.writer();
        String attempt = fields.getOrDefault("x-godwithoist-attempt-id", "");
        if (!id.equals(fields.get("x-godwithoist-expect-runner"))) {
            return empty(writer, 421, "X-Godwithoist-Runner-Id", id);
        }
        if (now == RunnerFault.SHED) {
            return empty(writer, 503, "X-Godwithoist-Not-Executed", "1");
        }
        String text = new String(body, StandardCharsets.UTF_8);
        runs.add(new Run(attempt, request.getRequestUri(), fields, text));
        Tasks.sleep(gap);
        if (now == RunnerFault.STRAY_ANSWER) {
            plain(writer, 200, "another-request", "other");
        }
        return switch (now) {
            case HANG -> hang(connection);
            case LOSE_ANSWER -> false;
            case FAIL -> plain(writer, 500, attempt, "failed");
            case UNSIGNED -> empty(writer, 200, "Content-Type", "text/plain");
            default ->
                    events > 0 ? stream(writer, attempt, fields, now) : reply(writer, attempt, now);
        };
    }

    /** Sends nothing until the daemon closes the connection or the time-out expires. */
    private boolean hang(MessageServer.Connection connection) {
        if (connection.awaitEnd(HANG)) {
            cancelled.incrementAndGet();
        }
        return false;
    }

    private boolean reply(MessageWriter writer, String attempt, RunnerFault now)
            throws IOException {
        plain(writer, 200, attempt, "answer of " + id);
        if (now == RunnerFault.SECOND_ANSWER) {
            plain(writer, 200, attempt, "once more");
        }
        if (now == RunnerFault.EXTRA_BYTES) {
            byte[] bytes = "no answer\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            writer.bytes(bytes, 0, bytes.length);
            writer.flush();
        }
        return true;
    }

    private boolean plain(MessageWriter writer, int status, String attempt, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        head(writer, status, attempt);
        writer.field("Content-Length", Integer.toString(bytes.length));
        writer.endHead();
        writer.bytes(bytes, 0, bytes.length);
        writer.flush();
        return true;
    }

    private boolean stream(
            MessageWriter writer, String attempt, Map<String, String> fields, RunnerFault now)
            throws IOException {
        head(writer, 200, attempt);
        writer.field("Content-Type", "text/event-stream");
        writer.field("Transfer-Encoding", "chunked");
        writer.endHead();
        int first = 1 + Integer.parseInt(fields.getOrDefault("last-event-id", "0"));
        for (int i = first; i <= events; i++) {
            byte[] event =
                    ("id: " + i + "\ndata: piece " + i + "\n\n").getBytes(StandardCharsets.UTF_8);
            boolean breaks = now == RunnerFault.BREAK_MIDWAY && i == first + 1;
            writer.chunk(event, 0, breaks ? event.length / 2 : event.length);
            writer.flush();
            if (breaks) {
                return false;
            }
            Tasks.sleep(gap);
        }
        writer.lastChunk();
        writer.flush();
        return true;
    }

    private void head(MessageWriter writer, int status, String attempt) throws IOException {
        writer.startLine("HTTP/1.1 " + status + " Status");
        writer.field("X-Godwithoist-Attempt-Id", attempt);
        writer.field("X-Godwithoist-Runner-Signature", "signed-by-" + id);
        writer.field("X-Godwithoist-Runner-Load", "1,0,8");
        writer.field("Keep-Alive", "timeout=5");
    }

    private static boolean empty(MessageWriter writer, int status, String field, String value)
            throws IOException {
        writer.startLine("HTTP/1.1 " + status + " Status");
        writer.field(field, value);
        writer.field("Content-Length", "0");
        writer.endHead();
        writer.flush();
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
