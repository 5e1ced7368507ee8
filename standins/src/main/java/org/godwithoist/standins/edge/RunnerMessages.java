package org.godwithoist.standins.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.godwithoist.dispatch.HeaderField;
import org.godwithoist.dispatch.http.MessageWriter;

/**
 * The messages of a runner stand-in that are no stream. Each method that returns a value returns
 * whether the connection stays open.
 */
final class RunnerMessages {
    private static final String HEALTH_PATH = "/health";
    private static final String REPORT_PATH = "/report";

    /** Load of a runner that runs one request, on eight slots. */
    private static final String IDLE_LOAD = "1,0,8";

    private final String id;
    private final long startedAt;
    private final BooleanSupplier leaving;
    private final Supplier<List<HeaderField>> limits;
    private final Supplier<String> load;

    /**
     * Creates the messages of a runner that stays, is idle and states no limits.
     *
     * @param startedAt time of its start, in Unix milliseconds
     */
    RunnerMessages(String id, long startedAt) {
        this(id, startedAt, () -> false, List::of, () -> IDLE_LOAD);
    }

    /**
     * Creates the messages of one runner.
     *
     * @param startedAt time of its start, in Unix milliseconds
     * @param leaving whether its responses state that it is leaving
     * @param limits fields of all responses that state what it tolerates
     * @param load its load, as responses to executed requests report it
     */
    RunnerMessages(
            String id,
            long startedAt,
            BooleanSupplier leaving,
            Supplier<List<HeaderField>> limits,
            Supplier<String> load) {
        this.id = id;
        this.startedAt = startedAt;
        this.leaving = leaving;
        this.limits = limits;
        this.load = load;
    }

    /** Writes a complete response with a text as its body. */
    boolean writeText(MessageWriter writer, int status, String attempt, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeHead(writer, status, attempt);
        writer.field("Content-Length", Integer.toString(bytes.length));
        writer.endHead();
        writer.bytes(bytes, 0, bytes.length);
        writer.flush();
        return true;
    }

    /** Writes the status line and the fields that all responses to executed requests have. */
    void writeHead(MessageWriter writer, int status, String attempt) throws IOException {
        writer.startLine("HTTP/1.1 " + status + " Status");
        writer.field("X-Godwithoist-Attempt-Id", attempt);
        writer.field("X-Godwithoist-Runner-Signature", "signed-by-" + id);
        writer.field("X-Godwithoist-Runner-Load", load.get());
        writer.field("Keep-Alive", "timeout=5");
        if (leaving.getAsBoolean()) {
            writer.field("Server-Leaving", "1");
        }
        writeLimits(writer);
    }

    private void writeLimits(MessageWriter writer) throws IOException {
        for (HeaderField field : limits.get()) {
            writer.field(field.name(), field.value());
        }
    }

    /**
     * Writes a rejection.
     *
     * @param pauseSeconds time for which the runner asks for a pause; empty for none
     */
    boolean writeRejection(MessageWriter writer, String attempt, String pauseSeconds)
            throws IOException {
        writer.startLine("HTTP/1.1 503 Status");
        writer.field("X-Godwithoist-Attempt-Id", attempt);
        writer.field("X-Godwithoist-Not-Executed", "1");
        writeLimits(writer);
        if (!pauseSeconds.isEmpty()) {
            writer.field("Retry-After", pauseSeconds);
        }
        writer.field("Content-Length", "0");
        writer.endHead();
        writer.flush();
        return true;
    }

    /** Returns whether a path asks the runner about itself. */
    static boolean isAboutItself(String path) {
        return path.equals(HEALTH_PATH) || path.equals(REPORT_PATH);
    }

    /**
     * Writes the answer to a health check, with the id, or a report, with the time of the start.
     */
    boolean writeOwnState(MessageWriter writer, String path) throws IOException {
        boolean report = path.equals(REPORT_PATH);
        String text = report ? "{\"running\":0,\"born\":%d}".formatted(startedAt) : "";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writer.startLine("HTTP/1.1 200 Status");
        writeLimits(writer);
        if (!report) {
            writer.field("X-Godwithoist-Runner-Id", id);
        }
        writer.field("Content-Length", Integer.toString(bytes.length));
        writer.endHead();
        writer.bytes(bytes, 0, bytes.length);
        writer.flush();
        return true;
    }

    /** Writes the answer to a request for another runner. */
    boolean writeMisdirected(MessageWriter writer, String attempt) throws IOException {
        writer.startLine("HTTP/1.1 421 Status");
        writer.field("X-Godwithoist-Attempt-Id", attempt);
        writer.field("X-Godwithoist-Not-Executed", "1");
        writer.field("X-Godwithoist-Runner-Id", id);
        writer.field("Content-Length", "0");
        writer.endHead();
        writer.flush();
        return true;
    }

    /** Writes a response with one field and no body. */
    boolean writeEmpty(MessageWriter writer, int status, String field, String value)
            throws IOException {
        writer.startLine("HTTP/1.1 " + status + " Status");
        writer.field(field, value);
        writer.field("Content-Length", "0");
        writer.endHead();
        writer.flush();
        return true;
    }
}
