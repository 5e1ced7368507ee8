package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.godwithoist.dispatch.BegunResponse;
import org.godwithoist.dispatch.BodyEnd;
import org.godwithoist.dispatch.CallerResponse;
import org.godwithoist.dispatch.HeaderField;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.ResponseHead;
import org.godwithoist.dispatch.ServingStatus;

/** Response to one request on a caller's connection. */
final class HttpCallerResponse implements CallerResponse {
    private static final double MILLIS_PER_SECOND = 1000;

    private final ReadAheadSocket socket;
    private final MessageWriter writer;
    private final ServingStatus status;
    private final BooleanSupplier roomIsWanted;
    private final MemoryBudget.Reservation buffer;
    private final ConnectionActivity activity;
    private boolean keepOpen = true;
    private boolean isHead;
    private boolean takesChunks = true;
    private boolean hasBody = true;
    private volatile boolean started;
    private boolean finished;
    private long sentBytes;
    private BodyEnd end = BodyEnd.LENGTH;
    private Function<Refusal, List<HeaderField>> refusalFields = r -> List.of();

    HttpCallerResponse(
            ReadAheadSocket socket,
            MessageWriter writer,
            ServingStatus status,
            BooleanSupplier roomIsWanted,
            MemoryBudget memory,
            ConnectionActivity activity) {
        this.socket = socket;
        buffer = memory.emptyReservation(MemoryBudget.Use.RESPONSE);
        this.writer = writer;
        this.activity = activity;
        this.status = status;
        this.roomIsWanted = roomIsWanted;
    }

    /** Sets whether the caller permits the connection to stay open. */
    void keepOpen(boolean value) {
        keepOpen = value;
    }

    /** Sets whether the request asks for the head of the response only. */
    void headOnly(boolean value) {
        isHead = value;
    }

    /**
     * Sets whether the caller can read chunks, which HTTP/1.0 does not have. Without them, a body
     * of unknown length ends with the connection.
     */
    void takesChunks(boolean value) {
        takesChunks = value;
    }

    /** Sets the header fields that a refusal has besides those of all refusals. */
    void refusalFields(Function<Refusal, List<HeaderField>> fields) {
        refusalFields = fields;
    }

    /** Returns whether the end of the connection is the end of the body. */
    boolean endsWithConnection() {
        return finished && end == BodyEnd.CONNECTION;
    }

    /** Returns whether the connection can carry another request. */
    boolean staysOpen() {
        return keepOpen && finished;
    }

    @Override
    public boolean reserveBuffer(int bytes) {
        if (bytes == buffer.bytes()) {
            return true;
        }
        if (bytes < buffer.bytes()) {
            buffer.shrinkTo(bytes);
            activity.holdResponse(bytes);
            return true;
        }
        try {
            buffer.grow(bytes - buffer.bytes());
            activity.holdResponse(bytes);
            return true;
        } catch (RefusedException e) {
            // The forwarder decides what happens without the memory; what it holds stays reserved.
            return false;
        }
    }

    /** Releases the memory of the response after its end. */
    void release() {
        buffer.close();
        activity.holdResponse(0);
    }

    @Override
    public BegunResponse start(ResponseHead head) throws IOException {
        setStarted();
        writer.startLine("HTTP/1.1 " + head.status() + " " + reasonPhrase(head.status()));
        writer.fields(head.fields());
        boolean needsChunks = head.end() == BodyEnd.MARK;
        end = needsChunks && !takesChunks ? BodyEnd.CONNECTION : head.end();
        hasBody = !isHead && head.hasBody();
        if (hasBody) {
            writeFraming(head);
        }
        endHead();
        return new Begun();
    }

    /** Guards against bytes of two responses to one request, which no caller can tell apart. */
    private void setStarted() {
        if (started) {
            throw new IllegalStateException("a response to the request was started before");
        }
        started = true;
    }

    private void writeFraming(ResponseHead head) throws IOException {
        switch (end) {
            case LENGTH -> writer.field("Content-Length", Long.toString(head.length()));
            case MARK -> writer.field("Transfer-Encoding", "chunked");
            case CONNECTION -> {
                keepOpen = false;
                // The system closes the connections of a process that is killed in order, which
                // would end the body.
                socket.resetOnClose(true);
            }
        }
    }

    private void endHead() throws IOException {
        // A caller that sends request after request would keep its place for as long as it likes.
        keepOpen &= status.state().keepsConnections() && !roomIsWanted.getAsBoolean();
        if (!keepOpen) {
            writer.field("Connection", "close");
        }
        writer.endHead();
    }

    private final class Begun implements BegunResponse {
        @Override
        public void write(byte[] bytes, int from, int length) throws IOException {
            if (!hasBody) {
                return;
            }
            sentBytes += length;
            if (end == BodyEnd.MARK) {
                writer.chunk(bytes, from, length);
            } else {
                writer.bytes(bytes, from, length);
            }
            if (end != BodyEnd.LENGTH) {
                writer.flush();
            }
        }

        @Override
        public void finish() throws IOException {
            if (hasBody && end == BodyEnd.MARK) {
                writer.lastChunk();
            }
            writer.flush();
            if (end == BodyEnd.CONNECTION) {
                socket.resetOnClose(false);
            }
            finished = true;
        }
    }

    @Override
    public void abort() {
        keepOpen = false;
        socket.close();
    }

    @Override
    public void abortForMemory() {
        activity.closeForMemory();
        abort();
    }

    @Override
    public boolean closedForMemory() {
        return activity.closedForMemory();
    }

    @Override
    public void refuse(Refusal refusal, Duration retryAfter) throws IOException {
        setStarted();
        byte[] body =
                ("{\"error\":\"" + refusal.name().toLowerCase(Locale.ROOT) + "\"}\n")
                        .getBytes(StandardCharsets.UTF_8);
        writer.startLine("HTTP/1.1 " + refusal.status() + " " + reasonPhrase(refusal.status()));
        writer.field("Content-Type", "application/json");
        writer.fields(refusalFields.apply(refusal));
        writer.field("Content-Length", Integer.toString(body.length));
        if (refusal.promisesNotRun()) {
            double seconds = retryAfter.toMillis() / MILLIS_PER_SECOND;
            writer.field("Retry-After", String.format(Locale.ROOT, "%.2f", seconds));
        }
        endHead();
        if (!isHead) {
            writer.bytes(body, 0, body.length);
        }
        writer.flush();
        finished = true;
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean statesEnd() {
        return started && end != BodyEnd.CONNECTION;
    }

    @Override
    public long sentBytes() {
        return sentBytes;
    }

    @Override
    public boolean callerDisconnected() {
        return socket.isEnded();
    }

    @Override
    public void onDisconnect(Runnable action) {
        socket.onEnd(action);
    }

    private static String reasonPhrase(int status) {
        return status < 300 ? "OK" : "Status " + status;
    }
}
