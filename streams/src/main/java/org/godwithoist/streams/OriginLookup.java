package org.godwithoist.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.godwithoist.core.log.EventLog;

/**
 * Asks the store on behalf of requests, one after the other on one connection. A request that would
 * wait for too long gets no result. Thread-safe.
 */
final class OriginLookup {
    /** Longest wait for other requests; the store mostly responds within a few milliseconds. */
    private static final Duration MAX_WAIT = Duration.ofMillis(500);

    /** Reads from the store, and applies what was read. */
    @FunctionalInterface
    interface Reader {
        void read(OriginStore store) throws IOException;
    }

    /** A question to the store. */
    @FunctionalInterface
    private interface Question<T> {
        Optional<T> ask() throws IOException;
    }

    private final OriginStore store;
    private final EventLog log;
    private final ReentrantLock lock = new ReentrantLock();

    OriginLookup(OriginStore store, EventLog log) {
        this.store = store;
        this.log = log;
    }

    /** Returns the version that began a stream; empty also if the store did not respond. */
    Optional<StreamOrigin> find(StreamId stream) {
        return ask(() -> store.find(stream));
    }

    /** Runs a reader after the requests before have been served, unless that takes too long. */
    void read(Reader reader) {
        ask(
                () -> {
                    reader.read(store);
                    return Optional.empty();
                });
    }

    private <T> Optional<T> ask(Question<T> question) {
        try {
            if (!lock.tryLock(MAX_WAIT.toNanos(), TimeUnit.NANOSECONDS)) {
                return Optional.empty();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
        try {
            return question.ask();
        } catch (IOException e) {
            log.event("stream_lookup_failed")
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
            return Optional.empty();
        } finally {
            lock.unlock();
        }
    }
}
