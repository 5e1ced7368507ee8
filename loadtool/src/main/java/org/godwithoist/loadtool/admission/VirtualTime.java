package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.godwithoist.core.time.VirtualTicker;

/** Runs events in the order of their instants; events of one instant run in the order of entry. */
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
        // Stamps of 0 mean "unknown" in reports, so the clock starts later.
        ticker.advance(Duration.ofHours(1));
        start = ticker.nanos();
    }

    VirtualTicker ticker() {
        return ticker;
    }

    /** Returns nanoseconds since the start. */
    long now() {
        return ticker.nanos() - start;
    }

    void after(long delay, Runnable body) {
        events.add(new Event(now() + delay, order++, body));
    }

    void every(long period, Runnable body) {
        after(
                period,
                () -> {
                    body.run();
                    every(period, body);
                });
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            ticker.advance(Duration.ofNanos(Math.max(0, e.at() - now())));
            e.body().run();
        }
    }
}
