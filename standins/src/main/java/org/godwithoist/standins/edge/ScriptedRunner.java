package org.godwithoist.standins.edge;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.http.MessageWriter;
import org.godwithoist.standins.edge.ScriptedResponse.Copy;
import org.godwithoist.standins.edge.ScriptedResponse.Framing;

/**
 * Stand-in for a runner that responds as the path of each request says. Each run writes another
 * body of another length, so that parts of two runs never fit together. Thread-safe.
 */
public final class ScriptedRunner implements Closeable {
    private static final int MIN_BODY_BYTES = 120;
    private static final int BODY_BYTES_SPREAD = 700;

    /** Part of the size of bodies that is the same in all runs, in place of the varied one. */
    private static final int FIXED_SPREAD = 680;

    /** Less than a daemon buffers, and far more than any body. */
    private static final int JUNK_INSIDE_BYTES = 20_000;

    private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final int REST_PIECES = 20;
    private static final int JUNK_PIECES = 10;
    private static final int JUNK_PIECE_BYTES = 8192;

    /** Difference of the sizes of two successive runs, so that their halves differ, too. */
    private static final int BODY_BYTES_STEP = 7;

    /** Runs of all runners, none of which has the size of another one at about the same time. */
    private static final AtomicInteger RUNS = new AtomicInteger();

    private static final int MIN_EVENTS = 4;
    private static final int EVENTS_SPREAD = 12;
    private static final long FIRST_START = 1_700_000_000_000L;

    /** What is known of the request that a connection carried last. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Answered(String id, String signature, byte[] body) {}

    private final String id;
    private final String service;
    private final boolean streams;
    private final RunnerMessages messages;
    private final MessageServer server;
    private final SplittableRandom random;
    private final Map<String, Queue<String>> bodies = new ConcurrentHashMap<>();
    private final Map<MessageServer.Connection, Answered> answered = new ConcurrentHashMap<>();
    private final AtomicInteger earlierCopies = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean sound;
    private volatile boolean silent;

    /**
     * Starts a runner on a free port.
     *
     * @param streams whether the bodies are streams of events
     * @param seed seed of the bodies
     */
    public ScriptedRunner(String id, String service, boolean streams, long seed)
            throws IOException {
        this.id = id;
        this.service = service;
        this.streams = streams;
        random = new SplittableRandom(seed);
        messages = new RunnerMessages(id, FIRST_START);
        server = new MessageServer("runner-" + id, this::serve);
    }

    /** Makes the runner send whole responses with a length, whatever a path says. */
    public void becomeSound() {
        sound = true;
    }

    /** Makes the runner run requests and send nothing, while their connections stay open. */
    public void becomeSilent() {
        silent = true;
    }

    /** Returns the whole bodies of all runs of a request. */
    public Set<String> bodiesOf(String attemptId) {
        return Set.copyOf(bodies.getOrDefault(attemptId, new ConcurrentLinkedQueue<>()));
    }

    /** Returns the number of runs of a request. */
    public int runsOf(String attemptId) {
        return bodies.getOrDefault(attemptId, new ConcurrentLinkedQueue<>()).size();
    }

    /** Returns how often the response to an earlier request was sent inside a body. */
    public int earlierCopies() {
        return earlierCopies.get();
    }

    /** Returns the number of responses. */
    public int runs() {
        return runs.get();
    }

    /** Returns how often a response was sent a second time. */
    public int copies() {
        return copies.get();
    }

    /** Returns whether the bodies are streams of events. */
    public boolean streams() {
        return streams;
    }

    /** Returns the runner id. */
    public String id() {
        return id;
    }

    /** Returns the JSON value of the runner's row in the store. */
    public String entry() {
        return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                        .formatted(service, endpoint())
                + "\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":"
                + FIRST_START
                + "}";
    }

    private Endpoint endpoint() {
        return server.endpoint();
    }

    private boolean serve(
            ClassicHttpRequest request, byte[] body, MessageServer.Connection connection)
            throws IOException {
        Map<String, String> fields = new HashMap<>();
        for (Header h : request.getHeaders()) {
            fields.put(h.getName().toLowerCase(Locale.ROOT), h.getValue());
        }
        String attempt = fields.getOrDefault("x-godwithoist-attempt-id", "");
        if (!id.equals(fields.get("x-godwithoist-expect-runner"))) {
            return messages.writeMisdirected(connection.writer(), attempt);
        }
        String path = request.getRequestUri();
        if (RunnerMessages.isAboutItself(path)) {
            return messages.writeOwnState(connection.writer(), path);
        }
        int first = 1 + Integer.parseInt(fields.getOrDefault("last-event-id", "0"));
        ScriptedResponse stated = ScriptedResponse.ofPath(path);
        ScriptedResponse script = sound ? stated.sound() : stated;
        byte[] whole = nextBody(first, script.size());
        String text = new String(whole, StandardCharsets.US_ASCII);
        bodies.computeIfAbsent(attempt, key -> new ConcurrentLinkedQueue<>()).add(text);
        return silent ? awaitClose() : respond(script, attempt, whole, connection);
    }

    /** Waits until the runner is closed; returns that the connection does not stay open. */
    private boolean awaitClose() {
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }

    /** Returns the body of a run: printable text, or events of equal size from a first one on. */
    private synchronized byte[] nextBody(int firstEvent, ScriptedResponse.Size size) {
        if (!streams) {
            boolean fixed = size == ScriptedResponse.Size.FIXED;
            int varied = RUNS.incrementAndGet() * BODY_BYTES_STEP % BODY_BYTES_SPREAD;
            return letters(size.addedBytes + MIN_BODY_BYTES + (fixed ? FIXED_SPREAD : varied));
        }
        int count = MIN_EVENTS + random.nextInt(EVENTS_SPREAD);
        int dataBytes = 8 + random.nextInt(60);
        StringBuilder text = new StringBuilder();
        for (int i = firstEvent; i < firstEvent + count; i++) {
            String data = new String(letters(dataBytes), StandardCharsets.US_ASCII);
            text.append("id: %03d\ndata: %s\n\n".formatted(i, data));
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private byte[] letters(int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) ('a' + random.nextInt(26));
        }
        return bytes;
    }

    private boolean respond(
            ScriptedResponse script,
            String attempt,
            byte[] whole,
            MessageServer.Connection connection)
            throws IOException {
        MessageWriter writer = connection.writer();
        String signature = id + "-" + Integer.toHexString(Arrays.hashCode(whole));
        int event = streams ? new String(whole, StandardCharsets.US_ASCII).indexOf("\n\n") + 2 : 0;
        int length = script.cut().length(whole.length, event, runs.getAndIncrement());
        Answered earlier = answered.get(connection);
        Answered current = new Answered(attempt, signature, whole);
        if (script.copy() == Copy.BODY_INSIDE_FRAMING
                || script.copy() == Copy.JUNK_INSIDE_FRAMING) {
            boolean isBody = script.copy() == Copy.BODY_INSIDE_FRAMING;
            writeWithMore(writer, script, current, isBody ? whole : letters(JUNK_INSIDE_BYTES));
            answered.put(connection, current);
            return false;
        }
        writeHead(writer, script.status(), script.framing(), true, current);
        writeBody(writer, script.framing(), whole, length);
        if (script.moment() != ScriptedResponse.Moment.AT_ONCE) {
            writer.flush();
            Tasks.sleep(script.moment().delay);
        }
        if (script.copy() == Copy.OF_EARLIER_REQUEST) {
            writeEarlier(writer, script, earlier, whole, length);
        } else if (script.copy() == Copy.REST) {
            writeRest(writer, script, whole, length, 1);
        } else if (script.copy() == Copy.REST_IN_PIECES) {
            writeRest(writer, script, whole, length, REST_PIECES);
        } else if (script.copy() == Copy.JUNK) {
            writeJunk(writer);
        } else if (script.copy() == Copy.RESET) {
            writer.flush();
            connection.socket().resetOnClose(true);
        } else if (script.copy() != Copy.NONE) {
            writeCopy(writer, script, current);
        }
        writer.flush();
        if (script.copy() != Copy.NONE) {
            copies.incrementAndGet();
        }
        answered.put(connection, current);
        return script.connectionStaysOpen();
    }

    /** Writes the response to the earlier request, if there was one, and the rest of the body. */
    private void writeEarlier(
            MessageWriter writer,
            ScriptedResponse script,
            Answered earlier,
            byte[] whole,
            int length)
            throws IOException {
        if (earlier != null) {
            earlierCopies.incrementAndGet();
            writeHead(writer, script.status(), Framing.LENGTH, true, earlier);
            writer.bytes(earlier.body(), 0, earlier.body().length);
        }
        writer.bytes(whole, length, whole.length - length);
    }

    /** Writes a response whose body is the whole one and more, with a stated end. */
    private void writeWithMore(
            MessageWriter writer, ScriptedResponse script, Answered current, byte[] more)
            throws IOException {
        byte[] whole = current.body();
        boolean inChunks = script.framing() == Framing.CHUNKS;
        int length = whole.length + more.length;
        writeHead(writer, script.status(), script.framing(), true, current, length);
        writePart(writer, inChunks, whole);
        writer.flush();
        Tasks.sleep(script.moment().delay);
        writePart(writer, inChunks, more);
        if (inChunks) {
            writer.lastChunk();
        }
        writer.flush();
        copies.incrementAndGet();
    }

    private static void writePart(MessageWriter writer, boolean inChunks, byte[] part)
            throws IOException {
        if (inChunks) {
            writer.chunk(part, 0, part.length);
        } else {
            writer.bytes(part, 0, part.length);
        }
    }

    /** Writes what {@link #writeBody} has left out of a body. */
    private static void writeRest(
            MessageWriter writer, ScriptedResponse script, byte[] body, int written, int pieces)
            throws IOException {
        int pieceBytes = Math.ceilDiv(body.length - written, pieces);
        for (int from = written; from < body.length; from += pieceBytes) {
            if (from > written) {
                writer.flush();
                Tasks.sleep(script.moment().delay);
            }
            writer.bytes(body, from, Math.min(pieceBytes, body.length - from));
        }
        if (script.framing() == Framing.CHUNKS) {
            writer.bytes(LINE_END, 0, LINE_END.length);
            writer.lastChunk();
        }
    }

    private void writeJunk(MessageWriter writer) throws IOException {
        for (int i = 0; i < JUNK_PIECES; i++) {
            byte[] junk = new byte[JUNK_PIECE_BYTES];
            random.nextBytes(junk);
            writer.bytes(junk, 0, junk.length);
        }
    }

    private void writeCopy(MessageWriter writer, ScriptedResponse script, Answered current)
            throws IOException {
        Copy copy = script.copy();
        if (copy.headBytes() > 0) {
            byte[] line = "HTTP/1.1 200 Status\r\n".getBytes(StandardCharsets.US_ASCII);
            writer.bytes(line, 0, copy.headBytes());
            return;
        }
        writeHead(writer, script.status(), copy.framing, copy.hasId, current);
        byte[] whole = current.body();
        int length = copy.isCut ? whole.length / 2 : whole.length;
        writeBody(writer, copy.framing, whole, length);
    }

    private void writeHead(
            MessageWriter writer, int status, Framing framing, boolean hasId, Answered answer)
            throws IOException {
        writeHead(writer, status, framing, hasId, answer, answer.body().length);
    }

    private void writeHead(
            MessageWriter writer,
            int status,
            Framing framing,
            boolean hasId,
            Answered answer,
            int length)
            throws IOException {
        writer.startLine("HTTP/1.1 " + status + " Status");
        if (hasId) {
            writer.field("X-Godwithoist-Attempt-Id", answer.id());
            writer.field("X-Godwithoist-Runner-Signature", answer.signature());
        }
        writer.field("Content-Type", streams ? "text/event-stream" : "text/plain");
        switch (framing) {
            case LENGTH -> writer.field("Content-Length", Integer.toString(length));
            case CHUNKS -> writer.field("Transfer-Encoding", "chunked");
            case CONNECTION -> writer.field("Connection", "close");
        }
        writer.endHead();
    }

    /**
     * Writes the first bytes of a body. One with chunks has two of them; if it is not whole, it
     * breaks off inside the second one.
     */
    private static void writeBody(MessageWriter writer, Framing framing, byte[] body, int length)
            throws IOException {
        if (framing != Framing.CHUNKS) {
            writer.bytes(body, 0, length);
            return;
        }
        int first = length / 2;
        writer.chunk(body, 0, first);
        if (length == body.length) {
            writer.chunk(body, first, length - first);
            writer.lastChunk();
            return;
        }
        String size = Integer.toHexString(body.length - first) + "\r\n";
        byte[] sizeBytes = size.getBytes(StandardCharsets.US_ASCII);
        writer.bytes(sizeBytes, 0, sizeBytes.length);
        writer.bytes(body, first, length - first);
    }

    @Override
    public String toString() {
        return id + " with " + runs + " runs and " + copies + " copies";
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        server.close();
    }
}
