package org.godwithoist.services.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.godwithoist.core.task.Await;
import org.godwithoist.services.ByteStream;

/** Reads a Vert.x stream chunk by chunk; the stream is paused between chunks. */
final class VertxByteStream implements ByteStream {
    private final ReadStream<Buffer> stream;
    private final long maxBytes;
    private final Function<String, RuntimeException> tooLong;
    private final Queue<byte[]> received = new ArrayDeque<>();
    private CompletableFuture<Optional<byte[]>> waiting = new CompletableFuture<>();
    private long total;
    private boolean ended;
    private RuntimeException failure;

    /**
     * Wraps a paused stream. Must be called on the event loop of the stream, before any chunk can
     * arrive.
     *
     * @param maxBytes maximum length of the body, in bytes
     * @param tooLong creates the exception for a longer body from its message
     * @param broken creates the exception for a failed stream from its cause
     */
    VertxByteStream(
            ReadStream<Buffer> stream,
            long maxBytes,
            Function<String, RuntimeException> tooLong,
            Function<Throwable, RuntimeException> broken) {
        this.stream = stream;
        this.maxBytes = maxBytes;
        this.tooLong = tooLong;
        stream.handler(this::take);
        stream.endHandler(v -> finish(null));
        stream.exceptionHandler(e -> finish(broken.apply(e)));
    }

    @Override
    public Optional<byte[]> next(Duration timeout) {
        CompletableFuture<Optional<byte[]>> piece = request();
        return Await.result(piece, timeout);
    }

    private CompletableFuture<Optional<byte[]>> request() {
        synchronized (this) {
            waiting = new CompletableFuture<>();
            answer();
            if (waiting.isDone()) {
                return waiting;
            }
        }
        stream.fetch(1);
        return waiting;
    }

    private synchronized void take(Buffer bytes) {
        total += bytes.length();
        if (total > maxBytes) {
            failure = tooLong.apply("the body exceeds " + maxBytes + " bytes");
        } else {
            received.add(bytes.getBytes());
        }
        answer();
    }

    private synchronized void finish(RuntimeException cause) {
        if (!ended) {
            ended = true;
            failure = failure == null ? cause : failure;
            answer();
        }
    }

    private void answer() {
        if (waiting.isDone()) {
            return;
        }
        byte[] piece = received.poll();
        if (piece != null) {
            waiting.complete(Optional.of(piece));
        } else if (failure != null) {
            waiting.completeExceptionally(failure);
        } else if (ended) {
            waiting.complete(Optional.empty());
        }
    }
}
