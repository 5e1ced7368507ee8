package org.godwithoist.standins.edge;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.HeaderField;
import org.godwithoist.dispatch.http.MessageWriter;

/** Stand-in for a runner of the platform. Thread-safe. */
public final class RunnerStandin implements Closeable {
    private static final Duration DRIBBLE_INTERVAL = Duration.ofMillis(50);
    private static final Duration SLOW_EVENT_DELAY = Duration.ofMillis(500);

    /** Time of the start of each runner that does not take the place of another one. */
    private static final long FIRST_START = 1_700_000_000_000L;

    /** Time after the end of its connections at which a runner stops to listen. */
    private static final Duration LATE_LISTENER_END = Duration.ofMillis(20);

    /** Slots that the entry and the load reports of a runner state. */
    public static final int SLOTS = 8;

    private static final Duration HANG_TIMEOUT = Duration.ofSeconds(20);

    /**
     * A request that the runner executed.
     *
     * @param attemptId attempt id; empty if the request had none
     * @param fields header fields; names are in lower case
     * @param body body decoded as UTF-8
     */
    public record ExecutedRequest(
            String attemptId, String uri, Map<String, String> fields, String body) {}

    private final String id;
    private final String service;
    private final int eventCount;
    private final Duration eventDelay;
    private final long startedAt;
    private final RunnerMessages messages;
    private final MessageServer server;
    private final List<ExecutedRequest> executedRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger cancelledRequests = new AtomicInteger();
    private final AtomicInteger rejectedRequests = new AtomicInteger();
    private volatile RunnerFault fault = RunnerFault.NONE;
    private volatile Optional<RepeatedResponses> repeatedResponses = Optional.empty();
    private volatile Optional<String> poisonPart = Optional.empty();
    private volatile Optional<Predicate<ExecutedRequest>> deadlyRequests = Optional.empty();
    private volatile List<String> rateLimits = List.of();
    private volatile Optional<LimitedPlaces> limitedPlaces = Optional.empty();
    private volatile RunnerVersion version = RunnerVersion.FIRST;
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private volatile Optional<String> successorId = Optional.empty();
    private volatile Optional<RunnerStandin> successor = Optional.empty();
    private volatile boolean ended;

    /**
     * Starts a runner on a free port.
     *
     * @param eventCount number of events in a response; 0 for a response that is not a stream
     * @param eventDelay delay before the response and between its events
     */
    public RunnerStandin(String id, String service, int eventCount, Duration eventDelay)
            throws IOException {
        this(id, service, eventCount, eventDelay, FIRST_START, new Endpoint("127.0.0.1", 0));
    }

    private RunnerStandin(
            String id,
            String service,
            int eventCount,
            Duration eventDelay,
            long startedAt,
            Endpoint address)
            throws IOException {
        this.id = id;
        this.service = service;
        this.eventCount = eventCount;
        this.eventDelay = eventDelay;
        this.startedAt = startedAt;
        messages =
                new RunnerMessages(
                        id,
                        startedAt,
                        () -> fault == RunnerFault.LEAVING,
                        this::limitFields,
                        this::load);
        server = new MessageServer("runner-" + id, address, this::serve);
    }

    /**
     * Makes another runner listen at the address as soon as a request has ended this one.
     *
     * @param runnerId id of the other runner; this runner's id for a new incarnation of it
     */
    public void setSuccessor(String runnerId) {
        successorId = Optional.of(runnerId);
    }

    /** Sets the fault for all requests that arrive from now on. */
    public void setFault(RunnerFault newFault) {
        fault = newFault;
    }

    /** Sets the version of the software, which the entry states. */
    public void setVersion(RunnerVersion newVersion) {
        version = newVersion;
    }

    /** Makes the runner repeat all responses from now on. */
    public void setRepeatedResponses(RepeatedResponses behaviour) {
        repeatedResponses = Optional.of(behaviour);
    }

    /**
     * Sets the values of the {@code Server-Limit} fields of all responses from now on.
     *
     * @param values one value for each field; none to name no limit
     */
    public void setRateLimit(String... values) {
        rateLimits = List.of(values);
    }

    /**
     * Limits the requests that the runner processes at the same time, and makes it fail, as its
     * responses state, if it must reject too many.
     */
    public void setLimitedPlaces(LimitedPlaces places) {
        limitedPlaces = Optional.of(places);
    }

    private List<HeaderField> limitFields() {
        List<HeaderField> fields = new ArrayList<>();
        rateLimits.forEach(v -> fields.add(new HeaderField("Server-Limit", v)));
        limitedPlaces.ifPresent(
                p ->
                        fields.add(
                                new HeaderField(
                                        "Server-Brittle", Integer.toString(p.maxRejections()))));
        return fields;
    }

    private String load() {
        return limitedPlaces.map(LimitedPlaces::running).orElse(1) + ",0," + SLOTS;
    }

    /**
     * Returns the times of arrival of all requests for this runner, also of rejected ones and of
     * those about the runner itself, in nanoseconds of {@link System#nanoTime}.
     */
    public List<Long> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Returns whether the runner has repeated a response. */
    public boolean hasRepeatedResponse() {
        return repeatedResponses.filter(RepeatedResponses::hasRepeated).isPresent();
    }

    /**
     * Makes the runner end like a killed process when it begins the response to a request whose
     * prompt contains a part.
     *
     * @param partId id of the part, as requests name it
     */
    public void setPoisonPart(String partId) {
        poisonPart = Optional.of(partId);
    }

    /**
     * Makes the runner end like a killed process, without a byte of a response, when it has begun
     * to run certain requests. Requests in progress lose their connections then.
     */
    public void setDeadlyRequests(Predicate<ExecutedRequest> deadly) {
        deadlyRequests = Optional.of(deadly);
    }

    /** Ends the runner like a killed process. */
    public void end() throws IOException {
        ended = true;
        close();
    }

    /** Returns whether the runner has ended. */
    public boolean hasEnded() {
        return ended;
    }

    /** Returns a live view of the requests that this runner executed, in order of execution. */
    public List<ExecutedRequest> executedRequests() {
        return executedRequests;
    }

    /** Returns the number of hanging requests whose connection the daemon closed. */
    public int cancelledRequests() {
        return cancelledRequests.get();
    }

    /** Returns the number of requests that were rejected with a pause. */
    public int rejectedRequests() {
        return rejectedRequests.get();
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
        return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\","
                        .formatted(service, endpoint(), zone, version.name())
                + "\"slots\":%d,\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":%d}"
                        .formatted(SLOTS, state, startedAt);
    }

    private boolean serve(
            ClassicHttpRequest request, byte[] body, MessageServer.Connection connection)
            throws IOException {
        Map<String, String> fields = new HashMap<>();
        for (Header h : request.getHeaders()) {
            fields.put(h.getName().toLowerCase(Locale.ROOT), h.getValue());
        }
        if (ended) {
            return false;
        }
        RunnerFault currentFault = version.faultOf(request.getRequestUri(), fault);
        MessageWriter writer = connection.writer();
        String attempt = fields.getOrDefault("x-godwithoist-attempt-id", "");
        if (!id.equals(fields.get("x-godwithoist-expect-runner"))) {
            return messages.writeMisdirected(writer, attempt);
        }
        arrivals.add(System.nanoTime());
        if (RunnerMessages.isAboutItself(request.getRequestUri())) {
            return messages.writeOwnState(writer, request.getRequestUri());
        }
        if (currentFault == RunnerFault.SHED) {
            return messages.writeRejection(writer, attempt, "");
        }
        if (currentFault == RunnerFault.SHED_WITH_PAUSE) {
            rejectedRequests.incrementAndGet();
            return messages.writeRejection(writer, attempt, "2");
        }
        String text = new String(body, StandardCharsets.UTF_8);
        ExecutedRequest executed =
                new ExecutedRequest(attempt, request.getRequestUri(), fields, text);
        if (limitedPlaces.isEmpty()) {
            return execute(executed, currentFault, connection);
        }
        LimitedPlaces places = limitedPlaces.get();
        return switch (places.enter()) {
            case FAIL -> false;
            case REJECT -> messages.writeRejection(writer, attempt, "");
            case RUN -> execute(executed, currentFault, connection);
        };
    }

    /** Executes a request and returns whether the connection stays open. */
    private boolean execute(
            ExecutedRequest executed, RunnerFault currentFault, MessageServer.Connection connection)
            throws IOException {
        MessageWriter writer = connection.writer();
        String attempt = executed.attemptId();
        Map<String, String> fields = executed.fields();
        executedRequests.add(executed);
        Tasks.sleep(eventDelay.plus(version.delayOf(executed.uri())));
        limitedPlaces.ifPresent(LimitedPlaces::leave);
        if (deadlyRequests.isPresent() && deadlyRequests.get().test(executed)) {
            end();
            return false;
        }
        boolean hangs = currentFault == RunnerFault.HANG;
        if (!hangs && poisonPart.isPresent() && promptContains(fields, poisonPart.get())) {
            return endWhileResponding(writer, attempt);
        }
        if (repeatedResponses.isPresent() && !repeatedResponses.get().beforeResponse(connection)) {
            return false;
        }
        boolean staysOpen = respond(fields, attempt, currentFault, connection);
        if (staysOpen && repeatedResponses.isPresent()) {
            return repeatedResponses.get().afterResponse(connection, attempt);
        }
        return staysOpen;
    }

    /**
     * Writes the response to a request that the runner has executed.
     *
     * @return whether the connection stays open
     */
    private boolean respond(
            Map<String, String> fields,
            String attempt,
            RunnerFault currentFault,
            MessageServer.Connection connection)
            throws IOException {
        MessageWriter writer = connection.writer();
        if (currentFault == RunnerFault.STRAY_ANSWER
                || currentFault == RunnerFault.STRAY_ANSWER_ONLY) {
            messages.writeText(writer, 200, "another-request", "other");
        }
        if (currentFault == RunnerFault.REPEATED_REJECTION) {
            messages.writeRejection(writer, "another-request", "");
        }
        return switch (currentFault) {
            case HANG, STRAY_ANSWER_ONLY -> awaitClose(connection);
            case HEAD_ONLY -> writeHeadOnly(connection, attempt);
            case DRIBBLE -> writeDribble(writer, attempt);
            case ENDLESS_HEAD, ENDLESS_BODY, ENDLESS_EVENT ->
                    writeWithoutEnd(writer, attempt, currentFault);
            case LOSE_ANSWER -> false;
            case TRUNCATED_HEAD -> writeTruncatedHead(writer, attempt);
            case REJECTION_WITHOUT_ID ->
                    messages.writeEmpty(writer, 503, "X-Godwithoist-Not-Executed", "1");
            case TRUNCATED_CHUNK_SIZE -> writeTruncatedChunks(writer, attempt, "0");
            case TRUNCATED_LAST_CHUNK -> writeTruncatedChunks(writer, attempt, "0\r\n");
            case UNFRAMED, UNFRAMED_BROKEN, UNFRAMED_EMPTY, UNFRAMED_HALF ->
                    writeUnframed(writer, attempt, fields, currentFault);
            case UNFRAMED_CRASH, UNFRAMED_SLOW_CRASH ->
                    endWithinUnframed(writer, attempt, 200, currentFault);
            case UNFRAMED_FAILURE_CRASH -> endWithinUnframed(writer, attempt, 500, currentFault);
            case FAIL -> messages.writeText(writer, 500, attempt, "failed");
            case UNSIGNED -> messages.writeEmpty(writer, 200, "Content-Type", "text/plain");
            default ->
                    eventCount > 0
                            ? writeEventStream(writer, attempt, fields, currentFault)
                            : writeWholeText(writer, attempt, currentFault);
        };
    }

    private static boolean promptContains(Map<String, String> fields, String partId) {
        return Stream.of(fields.getOrDefault("x-godwithoist-prompt-prefix", "").split(","))
                .anyMatch(block -> block.startsWith(partId + ":"));
    }

    /** Sends the head of a response and ends with all connections. */
    private boolean endWhileResponding(MessageWriter writer, String attempt) throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.field("Content-Type", "text/event-stream");
        writer.field("Transfer-Encoding", "chunked");
        writer.endHead();
        writer.flush();
        Tasks.sleep(eventDelay);
        end();
        return false;
    }

    /** Sends nothing until the daemon closes the connection or the timeout expires. */
    private boolean awaitClose(MessageServer.Connection connection) {
        if (connection.awaitClose(HANG_TIMEOUT)) {
            cancelledRequests.incrementAndGet();
        }
        return false;
    }

    /** Sends one byte after the other, but no complete event, until the daemon closes. */
    private boolean writeDribble(MessageWriter writer, String attempt) throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.field("Content-Type", "text/event-stream");
        writer.field("Transfer-Encoding", "chunked");
        writer.endHead();
        byte[] event = "id: 1\ndata: piece 1\n\n".getBytes(StandardCharsets.US_ASCII);
        writer.chunk(event, 0, event.length);
        while (true) {
            writer.chunk(event, 0, 1);
            writer.flush();
            Tasks.sleep(DRIBBLE_INTERVAL);
        }
    }

    /** Writes until the daemon closes the connection. */
    private boolean writeWithoutEnd(MessageWriter writer, String attempt, RunnerFault currentFault)
            throws IOException {
        messages.writeHead(writer, 200, attempt);
        if (currentFault == RunnerFault.ENDLESS_HEAD) {
            while (true) {
                writer.field("X-Filler", "x".repeat(100));
            }
        }
        writer.endHead();
        byte[] filler = "data: filler ".repeat(100).getBytes(StandardCharsets.US_ASCII);
        while (true) {
            writer.bytes(filler, 0, filler.length);
        }
    }

    /** Sends the head of a response and nothing else until the daemon closes the connection. */
    private boolean writeHeadOnly(MessageServer.Connection connection, String attempt)
            throws IOException {
        MessageWriter writer = connection.writer();
        messages.writeHead(writer, 200, attempt);
        writer.field("Content-Length", "100");
        writer.endHead();
        writer.flush();
        return awaitClose(connection);
    }

    /** Closes the connection after a line of the head, before the length of the body is stated. */
    private boolean writeTruncatedHead(MessageWriter writer, String attempt) throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.flush();
        return false;
    }

    /**
     * Writes a response in chunks, half of it if the end belongs to a further chunk, and closes.
     *
     * @param end bytes after the chunks
     */
    private boolean writeTruncatedChunks(MessageWriter writer, String attempt, String end)
            throws IOException {
        boolean lastChunk = end.endsWith("\n");
        int events = lastChunk ? eventCount : eventCount / 2;
        byte[] bytes = bodyOf(1, events).getBytes(StandardCharsets.UTF_8);
        byte[] endBytes = end.getBytes(StandardCharsets.US_ASCII);
        messages.writeHead(writer, 200, attempt);
        writer.field("Transfer-Encoding", "chunked");
        writer.endHead();
        boolean whole = lastChunk || eventCount > 0;
        writer.chunk(bytes, 0, whole ? bytes.length : bytes.length / 2);
        writer.bytes(endBytes, 0, endBytes.length);
        writer.flush();
        return false;
    }

    /** Returns the id of the first event of a response, which may resume a stream. */
    private static int firstEvent(Map<String, String> fields) {
        return 1 + Integer.parseInt(fields.getOrDefault("last-event-id", "0"));
    }

    /** Returns the body of a response with the given events, or the text of a service. */
    private String bodyOf(int firstEvent, int lastEvent) {
        if (eventCount == 0) {
            return "answer of " + id;
        }
        StringBuilder text = new StringBuilder();
        for (int i = firstEvent; i <= lastEvent; i++) {
            text.append("id: " + i + "\ndata: piece " + i + "\n\n");
        }
        return text.toString();
    }

    /** Writes a response that ends with the connection. */
    private boolean writeUnframed(
            MessageWriter writer,
            String attempt,
            Map<String, String> fields,
            RunnerFault currentFault)
            throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.endHead();
        byte[] bytes = bodyOf(firstEvent(fields), eventCount).getBytes(StandardCharsets.UTF_8);
        int secondEvent = bytes.length / Math.max(1, eventCount);
        int length =
                switch (currentFault) {
                    case UNFRAMED_EMPTY -> 0;
                    case UNFRAMED_HALF -> bytes.length / 2;
                    case UNFRAMED_BROKEN -> secondEvent + secondEvent / 2;
                    default -> bytes.length;
                };
        writer.bytes(bytes, 0, length);
        writer.flush();
        if (repeatedResponses.isPresent()) {
            repeatedResponses.get().beforeClose(writer, attempt);
        }
        return false;
    }

    /** Writes half of a response that ends with the connection, and ends with all connections. */
    private boolean endWithinUnframed(
            MessageWriter writer, String attempt, int status, RunnerFault currentFault)
            throws IOException {
        byte[] bytes = bodyOf(1, eventCount / 2).getBytes(StandardCharsets.UTF_8);
        messages.writeHead(writer, status, attempt);
        writer.endHead();
        writer.bytes(bytes, 0, eventCount > 0 ? bytes.length : bytes.length / 2);
        writer.flush();
        ended = true;
        if (currentFault == RunnerFault.UNFRAMED_SLOW_CRASH) {
            Tasks.start("late-listener-end", this::closeLate);
            return false;
        }
        if (successorId.isPresent()) {
            server.closeListener();
            successor = Optional.of(startSuccessor(successorId.get()));
        }
        server.close();
        return false;
    }

    private void closeLate() {
        Tasks.sleep(LATE_LISTENER_END);
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private RunnerStandin startSuccessor(String runnerId) throws IOException {
        return new RunnerStandin(
                runnerId, service, eventCount, eventDelay, startedAt + 1, endpoint());
    }

    private boolean writeWholeText(MessageWriter writer, String attempt, RunnerFault currentFault)
            throws IOException {
        messages.writeText(writer, 200, attempt, "answer of " + id);
        if (currentFault == RunnerFault.SECOND_ANSWER) {
            messages.writeText(writer, 200, attempt, "once more");
        }
        if (currentFault == RunnerFault.EXTRA_BYTES) {
            byte[] bytes = "no answer\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            writer.bytes(bytes, 0, bytes.length);
            writer.flush();
        }
        return true;
    }

    private boolean writeEventStream(
            MessageWriter writer,
            String attempt,
            Map<String, String> fields,
            RunnerFault currentFault)
            throws IOException {
        messages.writeHead(writer, 200, attempt);
        writer.field("Content-Type", "text/event-stream");
        writer.field("Transfer-Encoding", "chunked");
        writer.endHead();
        int first = firstEvent(fields);
        for (int i = first; i <= eventCount; i++) {
            byte[] event =
                    ("id: " + i + "\ndata: piece " + i + "\n\n").getBytes(StandardCharsets.UTF_8);
            boolean breaks = breaksEvent(currentFault) && i == first + 1;
            writer.chunk(event, 0, breaks ? event.length / 2 : event.length);
            writer.flush();
            if (breaks) {
                return currentFault == RunnerFault.INCOMPLETE_EVENT && writeLastChunk(writer);
            }
            Tasks.sleep(currentFault == RunnerFault.SLOW_EVENTS ? SLOW_EVENT_DELAY : eventDelay);
        }
        return writeLastChunk(writer);
    }

    private static boolean breaksEvent(RunnerFault fault) {
        return fault == RunnerFault.BREAK_MIDWAY || fault == RunnerFault.INCOMPLETE_EVENT;
    }

    private static boolean writeLastChunk(MessageWriter writer) throws IOException {
        writer.lastChunk();
        writer.flush();
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
        if (successor.isPresent()) {
            successor.get().close();
        }
    }
}
