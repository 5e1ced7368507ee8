package org.godwithoist.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.log.EventLog;

/**
 * Asks the store on behalf of requests, on a few connections. A request that would wait for too
 * long gets no result. Thread-safe.
 */
final class OriginLookup {
    /** Longest wait for other requests; the store mostly responds within a few milliseconds. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** Reads from the store, and applies what was read. */
    @FunctionalInterface
    interface Reader {
        void read(OriginStore store) throws IOException;
    }

    /** A question to the store. */
    @FunctionalInterface
    private interface Question<T> {
        Optional<T> ask(OriginStore store) throws IOException;
    }

    /** Clients of the store that no request uses. */
    private final BlockingQueue<OriginStore> idle;

    private final EventLog log;

    /**
     * Creates a lookup.
     *
     * @param clients clients of the store, each with a connection of its own
     */
    OriginLookup(Collection<? extends OriginStore> clients, EventLog log) {
        idle = new LinkedBlockingQueue<>(clients);
        this.log = log;
    }

    /** Returns the version that began a stream; empty also if the store did not respond. */
    Optional<StreamOrigin> find(StreamId stream) {
        return ask(store -> store.find(stream));
    }

    /** Runs a reader when a client is free, unless that takes too long. */
    void read(Reader reader) {
        ask(
                store -> {
                    reader.read(store);
                    return Optional.empty();
                });
    }

    private <T> Optional<T> ask(Question<T> question) {
        Optional<OriginStore> client = awaitIdle();
        if (client.isEmpty()) {
            return Optional.empty();
        }
        try {
            return question.ask(client.get());
        } catch (IOException e) {
            log.event("stream_lookup_failed")
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
            return Optional.empty();
        } finally {
            idle.add(client.get());
        }
    }

    /** Takes a client that no request uses; empty if there is none in time. */
    private Optional<OriginStore> awaitIdle() {
        try {
            return Optional.ofNullable(idle.poll(MAX_WAIT.toNanos(), TimeUnit.NANOSECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
