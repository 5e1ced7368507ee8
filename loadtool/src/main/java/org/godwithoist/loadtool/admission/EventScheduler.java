package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.godwithoist.core.time.VirtualTicker;

/**
 * Discrete-event scheduler. Events run in the order of their times, and events of the same time in
 * the order in which they were added.
 */
final class EventScheduler {
    static final long NANOS_PER_MILLI = 1_000_000;
    static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    private record Event(long atNanos, long sequence, Runnable action) {}

    private final VirtualTicker ticker = new VirtualTicker();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final long startNanos;
    private long sequence;

    EventScheduler() {
        // Reports use time stamp 0 for "unknown", so the clock does not start at 0.
        ticker.advance(Duration.ofHours(1));
        startNanos = ticker.nanos();
    }

    VirtualTicker ticker() {
        return ticker;
    }

    /** Returns the virtual time since the start, in nanoseconds. */
    long now() {
        return ticker.nanos() - startNanos;
    }

    /** Schedules an event after a delay in nanoseconds. */
    void schedule(long delayNanos, Runnable action) {
        events.add(new Event(now() + delayNanos, sequence++, action));
    }

    /** Schedules a repeating event with a period in nanoseconds, first after one period. */
    void scheduleRepeating(long periodNanos, Runnable action) {
        schedule(
                periodNanos,
                () -> {
                    action.run();
                    scheduleRepeating(periodNanos, action);
                });
    }

    /** Runs all events up to and including a time in nanoseconds since the start. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event e = events.poll();
            ticker.advance(Duration.ofNanos(Math.max(0, e.atNanos() - now())));
            e.action().run();
        }
    }
}
