package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.godwithoist.core.time.VirtualTicker;

/**
 * Discrete-event scheduler. Events run in the order of their times, and events of the same time in
 * the order in which they were added.
 */
final class VirtualTime {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    private record Event(long at, long order, Runnable body) {}

    private final VirtualTicker ticker = new VirtualTicker();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final long start;
    private long order;

    VirtualTime() {
        // Reports use time stamp 0 for "unknown", so the clock does not start at 0.
        ticker.advance(Duration.ofHours(1));
        start = ticker.nanos();
    }

    VirtualTicker ticker() {
        return ticker;
    }

    /** Returns the virtual time since the start, in nanoseconds. */
    long now() {
        return ticker.nanos() - start;
    }

    /** Schedules an event after a delay in nanoseconds. */
    void after(long delay, Runnable body) {
        events.add(new Event(now() + delay, order++, body));
    }

    /** Schedules a repeating event with a period in nanoseconds, first after one period. */
    void every(long period, Runnable body) {
        after(
                period,
                () -> {
                    body.run();
                    every(period, body);
                });
    }

    /** Runs all events up to and including a time in nanoseconds since the start. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            ticker.advance(Duration.ofNanos(Math.max(0, e.at() - now())));
            e.body().run();
        }
    }
}
