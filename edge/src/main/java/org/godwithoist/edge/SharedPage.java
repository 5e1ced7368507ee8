package org.godwithoist.edge;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.time.Ticker;

/**
 * A page that is costly to create. All requests that wait for it at the same time get the same one,
 * and it is created only so often, so that the processor time does not grow with the number of
 * requests. A response shows at least what was known when its request came. Thread-safe.
 */
final class SharedPage implements StatusServer.ResponseSource {
    /** Shortest time from one creation to the next. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(50);

    /** Time without requests after which the thread that creates the pages ends. */
    private static final Duration THREAD_IDLE_TIME = Duration.ofSeconds(10);

    private final StatusServer.ResponseSource source;
    private final Ticker ticker;

    /**
     * Creates the pages on a platform thread: a {@link java.io.BufferedWriter} of a virtual thread
     * starts with a short buffer and copies it for each piece of text until it has its full size.
     */
    private final Executor creator =
            new ThreadPoolExecutor(
                    0,
                    1,
                    THREAD_IDLE_TIME.toNanos(),
                    TimeUnit.NANOSECONDS,
                    new LinkedBlockingQueue<>(),
                    Thread.ofPlatform().name("page-creator").daemon().factory());

    /** The page whose creation has not begun; null if no request waits for one. */
    private CompletableFuture<StatusServer.Response> next;

    private long earliestNanos;

    /**
     * Creates a page.
     *
     * @param source creates its content
     */
    SharedPage(StatusServer.ResponseSource source, Ticker ticker) {
        this.source = source;
        this.ticker = ticker;
        earliestNanos = ticker.nanos();
    }

    @Override
    public StatusServer.Response response() throws IOException {
        try {
            return next().get();
        } catch (ExecutionException e) {
            throw new IOException("the page was not created: " + e.getCause(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for a page");
        }
    }

    private synchronized CompletableFuture<StatusServer.Response> next() {
        if (next == null) {
            long delay = Math.max(0, earliestNanos - ticker.nanos());
            next =
                    CompletableFuture.supplyAsync(
                            this::create,
                            CompletableFuture.delayedExecutor(
                                    delay, TimeUnit.NANOSECONDS, creator));
        }
        return next;
    }

    private StatusServer.Response create() {
        begin();
        try {
            return source.response();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Makes requests from now on wait for the page after this one. */
    private synchronized void begin() {
        next = null;
        earliestNanos = ticker.nanos() + MIN_INTERVAL.toNanos();
    }
}
