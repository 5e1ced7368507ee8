package org.godwithoist.standins.engine;

import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;

/** Recent load reports. Readers receive the newest one that is at least as old as the lag. */
final class LoadHistory {
    private record Entry(long atMillis, JsonObject report) {}

    private final long lagMillis;
    private final Deque<Entry> entries = new ArrayDeque<>();

    LoadHistory(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    void add(JsonObject report) {
        entries.addLast(new Entry(System.currentTimeMillis(), report));
    }

    /**
     * Returns the newest report that is at least the lag old, or the oldest report if none is, with
     * its age in {@code age_ms}. At least one report must have been added.
     */
    JsonObject read() {
        long now = System.currentTimeMillis();
        while (entries.size() > 1 && secondIsOldEnough(now)) {
            entries.removeFirst();
        }
        Entry entry = entries.getFirst();
        return entry.report().copy().put("age_ms", now - entry.atMillis());
    }

    private boolean secondIsOldEnough(long now) {
        var iterator = entries.iterator();
        iterator.next();
        return iterator.next().atMillis() <= now - lagMillis;
    }
}
