package org.godwithoist.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Evidence of the last seconds, from which recent windows are taken. Not thread-safe. */
final class EvidenceHistory {
    /** Length of the recent window: long enough for responses that are several times slower. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    /** Shortest time between two entries, which bounds their number. */
    private static final Duration RESOLUTION = Duration.ofMillis(50);

    private final Deque<Entry> entries = new ArrayDeque<>();

    void add(long now, Evidence total) {
        if (!entries.isEmpty() && now - entries.getLast().at < RESOLUTION.toNanos()) {
            return;
        }
        entries.addLast(new Entry(now, total));
        while (entries.size() > 1 && now - second().at >= WINDOW.toNanos()) {
            entries.removeFirst();
        }
    }

    /** Returns what was added within the recent window. */
    Evidence recent(Evidence total) {
        return entries.isEmpty() ? total : total.minus(entries.getFirst().total);
    }

    private Entry second() {
        var iterator = entries.iterator();
        iterator.next();
        return iterator.next();
    }

    private record Entry(long at, Evidence total) {}
}
