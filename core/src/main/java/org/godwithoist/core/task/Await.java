package org.godwithoist.core.task;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Suspends the calling virtual thread until an asynchronous result is available, so that tasks can
 * be written as sequential code. Must not be called on an event loop, where it would block all
 * connections of the loop; such calls fail.
 */
public final class Await {
    private Await() {}

    /**
     * Waits for a Vert.x future.
     *
     * @throws AwaitTimeoutException after the timeout; the operation itself is not cancelled
     */
    public static <T> T result(Future<T> future, Duration timeout) {
        return result(future.toCompletionStage().toCompletableFuture(), timeout);
    }

    /**
     * Waits for a Mutiny item.
     *
     * @throws AwaitTimeoutException after the timeout; the operation itself is not cancelled
     */
    public static <T> T result(Uni<T> uni, Duration timeout) {
        return result(uni.subscribeAsCompletionStage(), timeout);
    }

    /**
     * Waits for a completable future. An unchecked exception of the operation is rethrown as it is;
     * a checked one is wrapped in a {@link CompletionException}.
     *
     * @throws AwaitTimeoutException after the timeout; the operation itself is not cancelled
     * @throws IllegalStateException if called on an event loop
     */
    public static <T> T result(CompletableFuture<T> future, Duration timeout) {
        if (Context.isOnEventLoopThread()) {
            throw new IllegalStateException("Await must not be called on an event loop");
        }
        try {
            return future.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            throw new AwaitTimeoutException(timeout, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CompletionException(
                    "interrupted while waiting for an asynchronous result", e);
        } catch (ExecutionException e) {
            throw unchecked(e.getCause());
        }
    }

    private static RuntimeException unchecked(Throwable cause) {
        if (cause instanceof CompletionException wrapped && wrapped.getCause() != null) {
            return unchecked(wrapped.getCause());
        }
        if (cause instanceof Error error) {
            throw error;
        }
        return cause instanceof RuntimeException e ? e : new CompletionException(cause);
    }
}
