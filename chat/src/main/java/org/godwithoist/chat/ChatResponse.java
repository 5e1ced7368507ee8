package org.godwithoist.chat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.time.Ticker;

/**
 * The response of one request as received so far, together with the caller's connection. One task
 * owns the response and is the only one that writes to the caller; a reconnecting caller hands its
 * connection to that task through {@link #attach}.
 */
final class ChatResponse {
    /**
     * Number of chunks retained for a caller that reconnects. Above it, chunks are dropped once
     * they have been sent to the caller.
     */
    private static final int MAX_RETAINED_CHUNKS = 8_192;

    private final Ticker ticker;
    private final Deque<EngineEvent.Chunk> retained = new ArrayDeque<>();
    private final StringBuilder text = new StringBuilder();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final long baseOffset;
    private final long startNanos;
    private ResponseSink sink;
    private long retainedAfter;
    private long lastOffset;
    private long sentOffset;
    private long disconnectedNanos;
    private boolean disconnected;
    private boolean plainText = true;
    private Attachment pendingAttachment;
    private ResponseEnd end;
    private AttemptId latestAttempt;
    private long firstChunkNanos;
    private long lastChunkNanos;
    private int attemptCount;
    private int resumeCount;

    private record Attachment(ResponseSink sink, long afterOffset) {}

    /**
     * Creates an empty response.
     *
     * @param baseOffset offset of the last chunk before those that this daemon receives; 0 if it
     *     receives all
     * @param afterOffset offset of the last chunk that the caller has received
     */
    ChatResponse(ResponseSink sink, long baseOffset, long afterOffset, Ticker ticker) {
        this.sink = sink;
        this.ticker = ticker;
        retainedAfter = baseOffset;
        lastOffset = baseOffset;
        sentOffset = afterOffset;
        this.baseOffset = baseOffset;
        startNanos = ticker.nanos();
    }

    // ---- called by the owning task

    /** Appends the next chunk in order and sends it to the caller. */
    void append(EngineEvent.Chunk chunk) {
        synchronized (this) {
            text.append(chunk.text());
            plainText &= chunk.plainText();
            retained.add(chunk);
            lastOffset++;
            lastChunkNanos = ticker.nanos();
            firstChunkNanos = firstChunkNanos == 0 ? lastChunkNanos : firstChunkNanos;
            if (retained.size() > MAX_RETAINED_CHUNKS && retainedAfter < deliveredOffset()) {
                retained.removeFirst();
                retainedAfter++;
            }
        }
        sendPending();
    }

    /** Sends a keepalive if there is no new chunk, and detects a disconnected caller. */
    void keepAlive() {
        sendPending();
        if (!disconnected && !sink.keepAlive()) {
            markDisconnected();
        }
    }

    /** Ends the response; callers that attach later get it from the retained chunks. */
    void finish(ResponseEnd responseEnd) {
        while (true) {
            sendPending();
            synchronized (this) {
                if (pendingAttachment == null) {
                    end = responseEnd;
                    break;
                }
            }
        }
        if (!disconnected) {
            sink.end(responseEnd);
        }
        done.complete(null);
    }

    /** Ends the response with a failure, which is also thrown to a caller that is attaching. */
    void fail(RequestException failure) {
        done.completeExceptionally(failure);
    }

    /** Returns for how long the caller has been disconnected; zero while it is connected. */
    Duration disconnectedFor() {
        sendPending();
        return disconnected ? Duration.ofNanos(ticker.nanos() - disconnectedNanos) : Duration.ZERO;
    }

    /** Returns the offset of the last chunk received; the base offset if there is none. */
    long lastOffset() {
        return lastOffset;
    }

    /** Returns the text received so far. */
    String text() {
        return text.toString();
    }

    /** Returns whether another engine can continue the response from its text. */
    boolean isContinuable() {
        return plainText && baseOffset == 0;
    }

    private void sendPending() {
        adoptAttachment();
        while (!disconnected) {
            List<EngineEvent.Chunk> batch;
            long offset;
            synchronized (this) {
                if (sentOffset >= lastOffset) {
                    return;
                }
                offset = sentOffset + 1;
                batch = retained.stream().skip(sentOffset - retainedAfter).toList();
            }
            for (EngineEvent.Chunk chunk : batch) {
                if (!sink.chunk(offset, chunk)) {
                    markDisconnected();
                    adoptAttachment();
                    break;
                }
                sentOffset = offset++;
            }
        }
    }

    private long deliveredOffset() {
        return pendingAttachment == null
                ? sentOffset
                : Math.min(sentOffset, pendingAttachment.afterOffset());
    }

    private void markDisconnected() {
        disconnected = true;
        disconnectedNanos = ticker.nanos();
    }

    private synchronized void adoptAttachment() {
        if (pendingAttachment != null) {
            sink = pendingAttachment.sink();
            sentOffset = pendingAttachment.afterOffset();
            pendingAttachment = null;
            disconnected = false;
        }
    }

    synchronized void recordAttempt(AttemptId id) {
        latestAttempt = id;
        attemptCount++;
    }

    synchronized void recordResume() {
        resumeCount++;
    }

    // ---- called by other tasks

    /** Returns the latest attempt, or empty if there was none. */
    synchronized Optional<AttemptId> latestAttempt() {
        return Optional.ofNullable(latestAttempt);
    }

    /** Returns how the request ended. */
    synchronized ChatOutcome outcome(Optional<ErrorCode> failure) {
        long chunks = lastOffset - baseOffset;
        Optional<Duration> timeToFirstChunk =
                firstChunkNanos == 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(firstChunkNanos - startNanos));
        Optional<Duration> timeBetweenChunks =
                chunks < 2
                        ? Optional.empty()
                        : Optional.of(
                                Duration.ofNanos(
                                        (lastChunkNanos - firstChunkNanos) / (chunks - 1)));
        Duration total = Duration.ofNanos(ticker.nanos() - startNanos);
        return new ChatOutcome(
                failure,
                disconnected,
                timeToFirstChunk,
                timeBetweenChunks,
                total,
                attemptCount,
                resumeCount);
    }

    /** Returns whether the response is complete. */
    synchronized boolean isFinished() {
        return end != null;
    }

    // ---- called by the task of a reconnecting caller

    /**
     * Sends the rest of the response to a reconnecting caller. Returns when the response has ended.
     *
     * @param afterOffset offset of the last chunk that the caller has received
     */
    void attach(ResponseSink newSink, long afterOffset, Duration timeout) {
        ResponseEnd responseEnd;
        List<EngineEvent.Chunk> remaining;
        synchronized (this) {
            if (afterOffset < retainedAfter || afterOffset > lastOffset) {
                throw new RequestException(
                        ErrorCode.NOT_FOUND,
                        RunState.UNKNOWN,
                        "the response after event "
                                + afterOffset
                                + " is not available: it is not among the retained events");
            }
            responseEnd = end;
            remaining =
                    responseEnd == null
                            ? List.of()
                            : retained.stream().skip(afterOffset - retainedAfter).toList();
            if (responseEnd == null) {
                if (pendingAttachment != null) {
                    pendingAttachment.sink().abandon();
                }
                pendingAttachment = new Attachment(newSink, afterOffset);
                sink.abandon();
            }
        }
        if (responseEnd == null) {
            Await.result(done, timeout);
            return;
        }
        long offset = afterOffset;
        for (EngineEvent.Chunk chunk : remaining) {
            if (!newSink.chunk(++offset, chunk)) {
                return;
            }
        }
        newSink.end(responseEnd);
    }
}
