package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.BegunResponse;
import org.godwithoist.dispatch.BegunStream;
import org.godwithoist.dispatch.BodyEnd;
import org.godwithoist.dispatch.BufferedResponse;
import org.godwithoist.dispatch.CallerResponse;
import org.godwithoist.dispatch.EndEvidence;
import org.godwithoist.dispatch.EventFramer;
import org.godwithoist.dispatch.ResponseHead;
import org.godwithoist.dispatch.ResponseProgress;

/**
 * Forwards the successful response of one attempt to the caller. Of a stream, only complete events
 * are forwarded, so that another target can resume it. Used by one task.
 */
final class ResponseForwarder {
    /** Maximum size of a response that is buffered completely before it is forwarded, in bytes. */
    static final int MAX_BUFFERED_BYTES = 65_536;

    private static final int READ_BUFFER_BYTES = 8192;

    /**
     * Size of the buffer of a stream, which is held while the stream waits for its next event, and
     * of what is read of a body before memory is reserved for it.
     */
    private static final int EVENT_BUFFER_BYTES = 2048;

    /** Bytes held for each byte of a short body while its buffer grows: old and new copies. */
    private static final int BUFFER_GROWTH_FACTOR = 4;

    /** Buffers of this size that a long body uses: two of the target's connection, one here. */
    private static final int LONG_BODY_MEMORY_FACTOR = 3;

    /** Bytes held for each byte of a large event: the buffer doubles its size when it is full. */
    private static final int EVENT_MEMORY_FACTOR = 2;

    /**
     * Part of an event, in bytes, that counts as progress of a stream like a complete event. A
     * target that sends a byte now and then has stalled; one behind a slow link has not.
     */
    private static final int PROGRESS_BYTES = 1024;

    /**
     * Time after its head at which a response that still goes on counts as established. Engines
     * that fail at the beginning of a response do so within a fraction of it.
     */
    private static final Duration ESTABLISHED_AFTER = Duration.ofMillis(500);

    private final CallerResponse callerResponse;
    private final ReadControl reads;
    private final Ticker ticker;
    private final EventFramer framer = new EventFramer();
    private ResponseProgress progress = ResponseProgress.NONE;
    private long begunAt;
    private boolean complete;
    private Optional<BegunResponse> begun;
    private Optional<EndEvidence> endEvidence = Optional.empty();

    /**
     * Creates a forwarder.
     *
     * @param begun stream that earlier attempts have begun and this one continues
     * @param reads limits of the reads from the target
     */
    ResponseForwarder(
            CallerResponse callerResponse,
            Optional<BegunResponse> begun,
            ReadControl reads,
            Ticker ticker) {
        this.callerResponse = callerResponse;
        this.begun = begun;
        this.reads = reads;
        this.ticker = ticker;
    }

    /** Returns the stream as the caller has it; empty if no attempt has begun it. */
    Optional<BegunStream> begunStream() {
        return begun.map(response -> new BegunStream(response, framer.isResumable()));
    }

    /** Returns how far the target got with its response. */
    ResponseProgress progress() {
        return progress;
    }

    /** Returns the id of the last event that was forwarded; empty if there was none. */
    OptionalLong lastEvent() {
        return framer.lastId();
    }

    /** Returns what shows whether the response has reached its end; empty before its end. */
    Optional<EndEvidence> endEvidence() {
        return endEvidence;
    }

    /** Returns whether the response of the target was read completely. */
    boolean isComplete() {
        return complete;
    }

    /** Records the arrival of the head of a successful response. */
    void begin() {
        begunAt = ticker.nanos();
        progress = ResponseProgress.BEGUN;
    }

    /**
     * Forwards a stream of events.
     *
     * @param judge judges the end of the body
     * @param attempt the attempt that the response belongs to
     * @return whether the stream was ended; otherwise its end is in doubt
     * @throws TruncatedStreamException if the stream ends before it is complete
     * @throws org.godwithoist.dispatch.RepeatedEventException if the target sends an event again
     * @throws CallerDisconnectedException if the caller's connection fails
     * @throws IOException if the target's connection fails
     */
    boolean forwardEvents(ResponseHead head, TargetBody body, EndJudge judge, Attempt attempt)
            throws IOException {
        if (attempt.route().resumable()) {
            framer.startAfter(attempt.resumeAfter());
        }
        byte[] buffer = new byte[EVENT_BUFFER_BYTES];
        reads.awaitProgress();
        int bytesWithoutEvent = 0;
        int n = body.read(buffer, 0, buffer.length);
        while (n >= 0) {
            boolean hasEvent =
                    framer.feed(
                            buffer,
                            0,
                            n,
                            (bytes, from, length) -> {
                                attempt.evidence().eventArrived();
                                writeToCaller(head, bytes, from, length);
                            });
            reserveEvent();
            bytesWithoutEvent = hasEvent ? 0 : bytesWithoutEvent + n;
            if (hasEvent) {
                recordProgress();
            }
            if (hasEvent || bytesWithoutEvent >= PROGRESS_BYTES) {
                reads.awaitProgress();
                bytesWithoutEvent = 0;
            }
            n = body.read(buffer, 0, buffer.length);
        }
        Optional<String> defect = defectAtEnd(body.end(), attempt);
        if (defect.isPresent()) {
            throw new TruncatedStreamException(defect.get());
        }
        EndEvidence evidence = judge.judgeStream(body);
        endEvidence = Optional.of(evidence);
        if (!evidence.isWhole() && attempt.mayAskForMore()) {
            complete = true;
            progress = ResponseProgress.ESTABLISHED;
            return false;
        }
        judge.checkMayBeTold(evidence, body.checksum().length(), callerResponse.statesEnd());
        finish(head, new byte[0]);
        return true;
    }

    /**
     * Returns why a stream that has ended is not complete. If the target has not stated the end,
     * nothing tells an empty stream from one whose target has ended before its first event, unless
     * it was only asked for more.
     */
    private Optional<String> defectAtEnd(BodyEnd end, Attempt attempt) {
        if (framer.hasIncompleteEvent()) {
            return Optional.of("the stream ended inside an event");
        }
        return !end.isStated() && framer.lastId().isEmpty() && !attempt.endInDoubt()
                ? Optional.of("the connection ended before the first event")
                : Optional.empty();
    }

    /** Records that a part of the response was forwarded. */
    private void recordProgress() {
        Duration sinceHead = Duration.ofNanos(ticker.nanos() - begunAt);
        progress =
                sinceHead.compareTo(ESTABLISHED_AFTER) < 0
                        ? ResponseProgress.PARTIAL
                        : ResponseProgress.ESTABLISHED;
    }

    /**
     * Forwards a response that is not a stream. A short one is buffered completely first: if it
     * breaks off, another target can still be tried. A longer one is forwarded while it is read.
     *
     * @param judge judges the end of the body
     * @param attempt the attempt that the response belongs to
     * @return the response if it was not sent, because its end is in doubt; otherwise empty
     * @throws UnknownLengthException if another target must be asked before any of it is sent
     * @throws CallerDisconnectedException if the caller's connection fails
     * @throws IOException if the target's connection fails
     */
    Optional<BufferedResponse> forwardBody(
            ResponseHead head, TargetBody body, EndJudge judge, Attempt attempt)
            throws IOException {
        byte[] firstBytes = readFirstBytes(body);
        if (body.hasEnded()) {
            return finishShort(head, firstBytes, body, judge, attempt);
        }
        judge.checkLength(body);
        if (!body.end().isStated() && attempt.mustAskBeforeLongBody()) {
            endEvidence = Optional.of(EndEvidence.UNKNOWN_LENGTH);
            throw new UnknownLengthException();
        }
        writeToCaller(head, firstBytes, 0, firstBytes.length);
        // No other target can go on with this body, so that only its own rest is worth waiting for.
        reads.awaitRest();
        byte[] buffer = new byte[longBodyBufferBytes()];
        int n = body.read(buffer, 0, buffer.length);
        while (n >= 0) {
            judge.checkLength(body);
            writeToCaller(head, buffer, 0, n);
            n = body.read(buffer, 0, buffer.length);
        }
        EndJudge.Judgement end = judge.judge(body);
        endEvidence = Optional.of(end.evidence());
        if (end.copy().isPresent()) {
            throw new EndJudge.IncompleteBodyException(EndEvidence.LONGER_COPY);
        }
        judge.checkMayBeTold(end.evidence(), body.checksum().length(), callerResponse.statesEnd());
        finish(head, new byte[0]);
        return Optional.empty();
    }

    /**
     * Reads until the end of the body, or until as much is buffered as is permitted or as there is
     * memory for.
     */
    private byte[] readFirstBytes(TargetBody body) throws IOException {
        byte[] bytes = body.readNBytes(EVENT_BUFFER_BYTES);
        while (!body.hasEnded()
                && bytes.length < MAX_BUFFERED_BYTES
                && callerResponse.reserveBuffer(BUFFER_GROWTH_FACTOR * bytes.length)) {
            byte[] next = body.readNBytes(bytes.length);
            int length = bytes.length;
            bytes = Arrays.copyOf(bytes, length + next.length);
            System.arraycopy(next, 0, bytes, length, next.length);
        }
        callerResponse.reserveBuffer(bytes.length);
        return bytes;
    }

    /** Returns the size of the buffer of a body that is forwarded while it is read. */
    private int longBodyBufferBytes() {
        if (!callerResponse.reserveBuffer(LONG_BODY_MEMORY_FACTOR * READ_BUFFER_BYTES)) {
            return EVENT_BUFFER_BYTES;
        }
        reads.permitLargeReads();
        return READ_BUFFER_BYTES;
    }

    /**
     * Reserves memory for an event that is not complete. Without it, the connection of the caller
     * is closed, because no part of an event is forwarded.
     */
    private void reserveEvent() throws CallerDisconnectedException {
        int bytes = framer.incompleteBytes();
        boolean isSmall = bytes <= EVENT_BUFFER_BYTES;
        int needed = isSmall ? 0 : EVENT_MEMORY_FACTOR * bytes;
        if (!callerResponse.reserveBuffer(needed)) {
            callerResponse.abortForMemory();
            throw new CallerDisconnectedException(
                    new IOException("closed by this side: no memory for an event"));
        }
    }

    /** Ends a response that was buffered completely. */
    private Optional<BufferedResponse> finishShort(
            ResponseHead head, byte[] bytes, TargetBody body, EndJudge judge, Attempt attempt)
            throws IOException {
        EndJudge.Judgement end = judge.judge(body, bytes);
        endEvidence = Optional.of(end.evidence());
        byte[] whole = end.copy().orElse(bytes);
        boolean isWhole = end.evidence().isWhole();
        if (!isWhole && attempt.route().allowsReexecution()) {
            progress = ResponseProgress.ESTABLISHED;
            boolean isStated = body.end().isStated();
            ResponseHead kept = isStated ? head.withLength(whole.length) : head;
            return Optional.of(new BufferedResponse(kept, whole));
        }
        judge.checkMayBeTold(end.evidence(), bytes.length, isWhole);
        finish(isWhole ? head.withLength(whole.length) : head, whole);
        return Optional.empty();
    }

    /** Sends the last bytes, after the response of the target was read completely. */
    private void finish(ResponseHead head, byte[] lastBytes) throws CallerDisconnectedException {
        complete = true;
        progress = ResponseProgress.ESTABLISHED;
        writeToCaller(head, lastBytes, 0, lastBytes.length);
        try {
            begun.orElseThrow().finish();
        } catch (IOException e) {
            throw new CallerDisconnectedException(e);
        }
    }

    private void writeToCaller(ResponseHead head, byte[] bytes, int from, int length)
            throws CallerDisconnectedException {
        try {
            if (begun.isEmpty()) {
                begun = Optional.of(callerResponse.start(head));
            }
            begun.get().write(bytes, from, length);
        } catch (IOException e) {
            throw new CallerDisconnectedException(e);
        }
    }

    /** Nothing is known of the length of a body, and another target can be asked first. */
    static final class UnknownLengthException extends IOException {
        private static final long serialVersionUID = 1L;

        UnknownLengthException() {
            super("a long body without a stated end, on a route of which nothing is known");
        }
    }

    /** The target ended a stream before it was complete. */
    static final class TruncatedStreamException extends IOException {
        private static final long serialVersionUID = 1L;

        TruncatedStreamException(String defect) {
            super(defect);
        }
    }

    /** The caller's connection failed; the target is not at fault. */
    static final class CallerDisconnectedException extends IOException {
        private static final long serialVersionUID = 1L;

        CallerDisconnectedException(IOException cause) {
            super("the caller's connection failed: " + cause.getMessage(), cause);
        }
    }
}
