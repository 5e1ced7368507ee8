package org.godwithoist.targets;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;
import org.godwithoist.core.time.Ticker;

/**
 * Incarnations of targets that have announced that they are leaving. They are remembered after the
 * store has stopped listing them, because an entry can expire in an outage of the store and be
 * listed again while the target drains. Not thread-safe.
 */
final class LeavingTargets {
    /** Maximum number of incarnations; the oldest are forgotten first. */
    private static final int MAX_INCARNATIONS = 4096;

    /**
     * Time for which an incarnation is included in the reports to the other daemons. It spans
     * several reports on each step from a member through two leaders to another member.
     */
    static final Duration ANNOUNCEMENT_PERIOD = Duration.ofSeconds(2);

    private final Ticker ticker;
    private final SequencedMap<TargetIncarnation, Long> learnedAt = new LinkedHashMap<>();

    LeavingTargets(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Adds an incarnation; returns whether it was unknown before. */
    boolean add(TargetIncarnation incarnation) {
        if (learnedAt.putIfAbsent(incarnation, ticker.nanos()) != null) {
            return false;
        }
        if (learnedAt.size() > MAX_INCARNATIONS) {
            learnedAt.pollFirstEntry();
        }
        return true;
    }

    /** Announces an incarnation for another {@link #ANNOUNCEMENT_PERIOD}. */
    void announceAgain(TargetIncarnation incarnation) {
        // Inserted last, because recent() reads the latest ones from the end.
        learnedAt.remove(incarnation);
        add(incarnation);
    }

    boolean contains(TargetIncarnation incarnation) {
        return learnedAt.containsKey(incarnation);
    }

    /** Returns the incarnations to announce to the other daemons. */
    Set<TargetIncarnation> recent() {
        if (learnedAt.isEmpty()) {
            return Set.of();
        }
        long now = ticker.nanos();
        Set<TargetIncarnation> recent = new HashSet<>();
        for (Map.Entry<TargetIncarnation, Long> e : learnedAt.reversed().entrySet()) {
            if (now - e.getValue() >= ANNOUNCEMENT_PERIOD.toNanos()) {
                return recent;
            }
            recent.add(e.getKey());
        }
        return recent;
    }
}
