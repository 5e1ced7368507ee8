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

    /** Differences of the delays of messages, which change no decision. */
    private static final Duration MESSAGE_JITTER = Duration.ofMillis(20);

    private static final int MAX_CRASHES = 256;

    private final SequencedMap<CrashId, Long> times = new LinkedHashMap<>();

    /**
     * Adds a crash. Its age in a message counts from the sending of the message, so that the
     * earliest of several times is the most accurate one: a daemon that was paused receives all
     * messages of that time at once.
     *
     * @return whether the crash was known with a time that is later by more than the jitter of
     *     messages
     */
    boolean add(CrashId crash, long occurredAt) {
        Long known = times.get(crash);
        if (known != null && known - occurredAt <= MESSAGE_JITTER.toNanos()) {
            return false;
        }
        times.put(crash, occurredAt);
        if (times.size() > MAX_CRASHES) {
            times.pollFirstEntry();
        }
        return known != null;
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
