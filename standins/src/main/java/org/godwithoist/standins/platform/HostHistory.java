package org.godwithoist.standins.platform;

import io.vertx.core.json.JsonArray;
import java.util.ArrayDeque;
import java.util.Deque;

/** Published host lists. Readers receive the newest list that is at least as old as a lag. */
final class HostHistory {
    private record Entry(long atMillis, JsonArray hosts) {}

    private final Deque<Entry> entries = new ArrayDeque<>();

    HostHistory() {
        entries.add(new Entry(0, new JsonArray()));
    }

    void add(JsonArray hosts) {
        entries.addLast(new Entry(System.currentTimeMillis(), hosts));
    }

    JsonArray read(long lagMillis) {
        long until = System.currentTimeMillis() - lagMillis;
        JsonArray visible = entries.getFirst().hosts();
        for (Entry e : entries) {
            if (e.atMillis() <= until) {
                visible = e.hosts();
            }
        }
        return visible;
    }
}
