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
final class Answer {
    /** Chunks retained for a caller that reconnects; it has received the older ones. */
    private static final int MAX_KEPT = 8_192;

    private final Ticker ticker;
    private final Deque<EngineEvent.Piece> kept = new ArrayDeque<>();
    private final StringBuilder text = new StringBuilder();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final long base;
    private final long startedAt;
    private AnswerSink sink;
    private long keptFrom;
    private long last;
    private long sent;
    private long goneSince;
    private boolean gone;
    private boolean plainText = true;
    private Attachment waiting;
    private AnswerEnd end;
    private AttemptId attempt;
    private long firstAt;
    private long lastAt;
    private int attempts;
    private int resumes;

    private record Attachment(AnswerSink sink, long after) {}

    /**
     * Creates an empty response.
     *
     * @param base offset of the last chunk before those that this daemon receives; 0 if it receives
     *     all
     * @param after offset of the last chunk that the caller has received
     */
    Answer(AnswerSink sink, long base, long after, Ticker ticker) {
        this.sink = sink;
        this.ticker = ticker;
        keptFrom = base;
        last = base;
        sent = after;
        this.base = base;
        startedAt = ticker.nanos();
    }

    // ---- called by the owning task

    /** Appends the next chunk in order and sends it to the caller. */
    void append(EngineEvent.Piece piece) {
        synchronized (this) {
            text.append(piece.text());
            plainText &= piece.plainText();
            kept.add(piece);
            last++;
            lastAt = ticker.nanos();
            firstAt = firstAt == 0 ? lastAt : firstAt;
            if (kept.size() > MAX_KEPT && keptFrom < unsentFrom()) {
                kept.removeFirst();
                keptFrom++;
            }
        }
        send();
    }

    /** Sends a keepalive if there is no new chunk, and detects a disconnected caller. */
    void keepAlive() {
        send();
        if (!gone && !sink.keepAlive()) {
            lose();
        }
    }

    /** Ends the response; callers that attach later get it from the retained chunks. */
    void finish(AnswerEnd whole) {
        while (true) {
            send();
            synchronized (this) {
                if (waiting == null) {
                    end = whole;
                    break;
                }
            }
        }
        if (!gone) {
            sink.end(whole);
        }
        done.complete(null);
    }

    /** Ends the response with a failure, which is also thrown to a caller that is attaching. */
    void fail(RequestException failure) {
        done.completeExceptionally(failure);
    }

    /** Returns for how long the caller has been disconnected; zero while it is connected. */
    Duration goneFor() {
        send();
        return gone ? Duration.ofNanos(ticker.nanos() - goneSince) : Duration.ZERO;
    }

    /** Returns the offset of the last chunk; the base if there is none. */
    long last() {
        return last;
    }

    /** Returns the text received so far. */
    String text() {
        return text.toString();
    }

    /** Returns whether another engine can continue the response from its text. */
    boolean continuable() {
        return plainText && base == 0;
    }

    private void send() {
        adopt();
        while (!gone) {
            List<EngineEvent.Piece> batch;
            long offset;
            synchronized (this) {
                if (sent >= last) {
                    return;
                }
                offset = sent + 1;
                batch = kept.stream().skip(sent - keptFrom).toList();
            }
            for (EngineEvent.Piece p : batch) {
                if (!sink.piece(offset, p)) {
                    lose();
                    adopt();
                    break;
                }
                sent = offset++;
            }
        }
    }

    private long unsentFrom() {
        return waiting == null ? sent : Math.min(sent, waiting.after());
    }

    private void lose() {
        gone = true;
        goneSince = ticker.nanos();
    }

    private synchronized void adopt() {
        if (waiting != null) {
            sink = waiting.sink();
            sent = waiting.after();
            waiting = null;
            gone = false;
        }
    }

    synchronized void attempted(AttemptId id) {
        attempt = id;
        attempts++;
    }

    synchronized void resumed() {
        resumes++;
    }

    // ---- called by other tasks

    /** Returns the latest attempt, or empty if there was none. */
    synchronized Optional<AttemptId> attempt() {
        return Optional.ofNullable(attempt);
    }

    /** Returns how the request ended. */
    synchronized ChatOutcome outcome(Optional<ErrorCode> failure) {
        long pieces = last - base;
        Optional<Duration> first =
                firstAt == 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(firstAt - startedAt));
        Optional<Duration> between =
                pieces < 2
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos((lastAt - firstAt) / (pieces - 1)));
        Duration total = Duration.ofNanos(ticker.nanos() - startedAt);
        return new ChatOutcome(failure, gone, first, between, total, attempts, resumes);
    }

    /** Returns whether the response is complete. */
    synchronized boolean isFinished() {
        return end != null;
    }

    // ---- called by the task of a reconnecting caller

    /**
     * Sends the rest of the response to a reconnecting caller. Returns when the response has ended.
     *
     * @param after offset of the last chunk that the caller has received
     */
    void attach(AnswerSink newSink, long after, Duration patience) {
        AnswerEnd whole;
        List<EngineEvent.Piece> rest;
        synchronized (this) {
            if (after < keptFrom || after > last) {
                throw new RequestException(
                        ErrorCode.NOT_FOUND,
                        RunState.UNKNOWN,
                        "the answer after event " + after + " is not available here");
            }
            whole = end;
            rest = whole == null ? List.of() : kept.stream().skip(after - keptFrom).toList();
            if (whole == null) {
                if (waiting != null) {
                    waiting.sink().abandon();
                }
                waiting = new Attachment(newSink, after);
                sink.abandon();
            }
        }
        if (whole == null) {
            Await.result(done, patience);
            return;
        }
        long offset = after;
        for (EngineEvent.Piece p : rest) {
            if (!newSink.piece(++offset, p)) {
                return;
            }
        }
        newSink.end(whole);
    }
}
