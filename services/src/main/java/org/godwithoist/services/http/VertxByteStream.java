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
    private CompletableFuture<Optional<byte[]>> pendingChunk = new CompletableFuture<>();
    private long receivedBytes;
    private boolean ended;
    private RuntimeException failure;

    /**
     * Wraps a paused stream. Must be called on the event loop of the stream, before any chunk can
     * arrive.
     *
     * @param maxBytes maximum length of the body, in bytes
     * @param tooLong creates the exception for a longer body from its message
     * @param failed creates the exception for a failed stream from its cause
     */
    VertxByteStream(
            ReadStream<Buffer> stream,
            long maxBytes,
            Function<String, RuntimeException> tooLong,
            Function<Throwable, RuntimeException> failed) {
        this.stream = stream;
        this.maxBytes = maxBytes;
        this.tooLong = tooLong;
        stream.handler(this::handleData);
        stream.endHandler(v -> handleEnd(null));
        stream.exceptionHandler(e -> handleEnd(failed.apply(e)));
    }

    @Override
    public Optional<byte[]> next(Duration timeout) {
        CompletableFuture<Optional<byte[]>> chunk = requestChunk();
        return Await.result(chunk, timeout);
    }

    private CompletableFuture<Optional<byte[]>> requestChunk() {
        synchronized (this) {
            pendingChunk = new CompletableFuture<>();
            completePending();
            if (pendingChunk.isDone()) {
                return pendingChunk;
            }
        }
        stream.fetch(1);
        return pendingChunk;
    }

    private synchronized void handleData(Buffer bytes) {
        receivedBytes += bytes.length();
        if (receivedBytes > maxBytes) {
            failure = tooLong.apply("the body exceeds " + maxBytes + " bytes");
        } else {
            received.add(bytes.getBytes());
        }
        completePending();
    }

    private synchronized void handleEnd(RuntimeException cause) {
        if (!ended) {
            ended = true;
            failure = failure == null ? cause : failure;
            completePending();
        }
    }

    private void completePending() {
        if (pendingChunk.isDone()) {
            return;
        }
        byte[] chunk = received.poll();
        if (chunk != null) {
            pendingChunk.complete(Optional.of(chunk));
        } else if (failure != null) {
            pendingChunk.completeExceptionally(failure);
        } else if (ended) {
            pendingChunk.complete(Optional.empty());
        }
    }
}
