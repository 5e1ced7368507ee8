package org.godwithoist.overload;

import java.util.EnumMap;
import java.util.Map;

/** Numbers of refused requests by reason. Not thread-safe. */
final class RefusalCounts {
    private final Map<CapacityRefusal.Reason, Long> counts =
            new EnumMap<>(CapacityRefusal.Reason.class);

    RefusalCounts() {
        for (CapacityRefusal.Reason r : CapacityRefusal.Reason.values()) {
            counts.put(r, 0L);
        }
    }

    void add(CapacityRefusal.Reason reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    Map<CapacityRefusal.Reason, Long> byReason() {
        return Map.copyOf(counts);
    }
}
