package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;

/**
 * Finds the response to one request on its connection. Responses to other requests, such as a late
 * copy of an earlier response, are discarded while they are read, up to the head with the id of the
 * request: a copy may be incomplete, and how its body ends depends on the method of its request.
 * Used by one task.
 */
final class ResponseFinder {
    private static final int FIRST_FINAL_STATUS = 200;

    /**
     * Number of discarded bytes that count as progress of the target, like a byte of a response.
     */
    private static final int PROGRESS_BYTES = 1024;

    /**
     * A request that may be sent to another target gives up if other responses take more than this
     * part of its time.
     */
    private static final int SKIP_TIME_DIVISOR = 2;

    private final Attempt attempt;
    private final MessageReader reader;
    private final Dialect dialect;
    private final boolean reusedConnection;
    private final Runnable extendReadDeadline;
    private final Deadline skipDeadline;
    private boolean skippedInterim;
    private int strayResponses;
    private int bytesWithoutProgress;

    /**
     * A response to the request.
     *
     * @param metadata values of its header fields
     */
    record FoundResponse(ClassicHttpResponse head, Dialect.ResponseMetadata metadata) {}

    /**
     * Creates a finder.
     *
     * @param reusedConnection whether the connection has carried other requests
     * @param extendReadDeadline extends the time for which the target may send nothing
     */
    ResponseFinder(
            Attempt attempt,
            MessageReader reader,
            Dialect dialect,
            boolean reusedConnection,
            Runnable extendReadDeadline,
            Ticker ticker) {
        this.attempt = attempt;
        this.reader = reader;
        this.dialect = dialect;
        this.reusedConnection = reusedConnection;
        this.extendReadDeadline = extendReadDeadline;
        Duration left = attempt.deadline().remaining();
        boolean mayBeSentElsewhere = attempt.responseTimeout().isPresent();
        skipDeadline =
                mayBeSentElsewhere
                        ? Deadline.after(left.dividedBy(SKIP_TIME_DIVISOR), ticker)
                        : attempt.deadline();
    }

    /** Returns whether something else came before the response, such as an interim response. */
    boolean hasSkipped() {
        return skippedInterim || strayResponses > 0;
    }

    /** Returns the number of responses to other requests that were discarded. */
    int strayResponses() {
        return strayResponses;
    }

    /**
     * Waits for the response and reads its head. One without an id is returned only if the
     * connection has carried no other request.
     *
     * @throws SocketTimeoutException if the target sends nothing, or other responses, for too long
     * @throws IOException if the connection ends before the response
     * @throws HttpException if the target sends something else than a response
     */
    FoundResponse find() throws IOException, HttpException {
        while (true) {
            ClassicHttpResponse head = readFinalHead();
            Dialect.ResponseMetadata metadata = dialect.readResponse(head.getHeaders());
            if (!isStray(metadata)) {
                return new FoundResponse(head, metadata);
            }
            recordStray();
            reader.skipToResponse(this::isSought, this::recordSkipped);
        }
    }

    private ClassicHttpResponse readFinalHead() throws IOException, HttpException {
        while (true) {
            extendReadDeadline.run();
            ClassicHttpResponse head = reader.readResponse();
            if (head.getCode() >= FIRST_FINAL_STATUS) {
                return head;
            }
            skippedInterim = true;
        }
    }

    private boolean isStray(Dialect.ResponseMetadata metadata) {
        return metadata.id().isEmpty() ? reusedConnection : !hasId(metadata);
    }

    private boolean hasId(Dialect.ResponseMetadata metadata) {
        return metadata.id().filter(attempt.request().head().id()::equals).isPresent();
    }

    private boolean isSought(Header[] headers) {
        Dialect.ResponseMetadata metadata = dialect.readResponse(headers);
        if (hasId(metadata)) {
            return true;
        }
        if (metadata.isOfTarget()) {
            recordStray();
        }
        return false;
    }

    private void recordStray() {
        strayResponses++;
        attempt.target().recordUnrequestedResponse();
    }

    private void recordSkipped(int bytes) throws SocketTimeoutException {
        if (skipDeadline.isExpired()) {
            throw new SocketTimeoutException("responses to other requests took too long");
        }
        bytesWithoutProgress += bytes;
        if (bytesWithoutProgress >= PROGRESS_BYTES) {
            bytesWithoutProgress = 0;
            extendReadDeadline.run();
        }
    }
}
