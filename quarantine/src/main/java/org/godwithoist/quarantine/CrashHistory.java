package org.godwithoist.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;

/**
 * The times of the latest crashes that this daemon knows of, also of cleared ones. Targets that end
 * at about the same time have probably ended for one reason, for example with their host. Instants
 * are in nanoseconds of the ticker. Not thread-safe.
 */
final class CrashHistory {
    /** Crashes within this time of each other may have a common cause. */
    private static final Duration COMMON_CAUSE_WINDOW = Duration.ofMillis(150);

    private static final int MAX_CRASHES = 256;

    private final SequencedMap<CrashId, Long> times = new LinkedHashMap<>();

    /** Adds a crash; the time of a known one stays. */
    void add(CrashId crash, long occurredAt) {
        times.putIfAbsent(crash, occurredAt);
        if (times.size() > MAX_CRASHES) {
            times.pollFirstEntry();
        }
    }

    /**
     * Returns whether another target crashed at about the same time, without a suspect that was
     * present in a crash.
     *
     * @param crash crash in which the suspect was present
     * @param own all crashes in which it was present
     */
    boolean isAccompanied(CrashId crash, Set<CrashId> own) {
        Long occurredAt = times.get(crash);
        return occurredAt != null
                && times.entrySet().stream()
                        .filter(other -> !own.contains(other.getKey()))
                        .mapToLong(Map.Entry::getValue)
                        .map(at -> Math.abs(at - occurredAt))
                        .anyMatch(gap -> gap < COMMON_CAUSE_WINDOW.toNanos());
    }
}
