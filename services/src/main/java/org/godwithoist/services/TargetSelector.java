package org.godwithoist.services;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.godwithoist.core.id.TargetId;

/**
 * Orders the targets of a service by expected wait; targets with equal waits alternate.
 * Thread-safe.
 */
final class TargetSelector {
    private final AtomicInteger nextStart = new AtomicInteger();

    /** Returns the targets, the one with the shortest expected wait first. */
    List<TargetId> orderByWait(List<TargetId> targets, Function<TargetId, Duration> expectedWait) {
        List<TargetId> rotated = new ArrayList<>(targets);
        if (rotated.isEmpty()) {
            return rotated;
        }
        Collections.rotate(rotated, -Math.floorMod(nextStart.getAndIncrement(), rotated.size()));
        // Each wait is read once, because it may change while the list is sorted.
        Map<TargetId, Duration> waits = new HashMap<>();
        rotated.forEach(t -> waits.put(t, expectedWait.apply(t)));
        rotated.sort(Comparator.comparing(waits::get));
        return rotated;
    }
}
