package org.godwithoist.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedSet;
import org.godwithoist.targets.PromptPartId;

/**
 * The suspected prompt parts, and the parts that targets have responded to. Both are limited in
 * number, because callers choose the parts. Instants are in nanoseconds of the ticker. Not
 * thread-safe.
 */
final class Suspects {
    /**
     * Time for which a crash counts. It is longer than a quarantine, so that the first crash after
     * one quarantines the part again.
     */
    static final Duration CRASH_RETENTION = Duration.ofHours(2);

    /** Time for which the clearing of crashes is announced to the other daemons. */
    private static final Duration CLEARED_ANNOUNCEMENT = Duration.ofSeconds(5);

    /**
     * Time for which cleared crashes are remembered, in case that a daemon which was paused
     * announces them again, or that the store was away and comes back with their row.
     */
    private static final Duration CLEARED_RETENTION = Duration.ofMinutes(10);

    private static final int MAX_SUSPECTS = 256;
    private static final int MAX_ANSWERED_PARTS = 2000;

    /** Among suspects with equally many crashes, the one that changed last comes first. */
    private static final Comparator<Suspect> MOST_CRASHES_FIRST =
            Comparator.<Suspect>comparingInt(s -> s.crashIds().size())
                    .thenComparingLong(Suspect::changedAt)
                    .reversed();

    private final Map<PromptPartId, Suspect> byPart = new HashMap<>();

    /** Parts that targets have responded to, the least recently used one first. */
    private final SequencedSet<PromptPartId> answeredParts = new LinkedHashSet<>();

    Collection<Suspect> all() {
        return Collections.unmodifiableCollection(byPart.values());
    }

    Optional<Suspect> find(PromptPartId part) {
        return Optional.ofNullable(byPart.get(part));
    }

    /** Returns the suspect for a part, which is added if it is unknown. */
    Suspect findOrAdd(PromptPartId part, long now) {
        Suspect known = byPart.get(part);
        if (known != null) {
            return known;
        }
        if (byPart.size() >= MAX_SUSPECTS) {
            removeLeastSuspicious();
        }
        Suspect suspect = new Suspect(part, now);
        if (answeredParts.contains(part)) {
            suspect.setAnswered(now);
        }
        byPart.put(part, suspect);
        return suspect;
    }

    private void removeLeastSuspicious() {
        byPart.values().stream().max(MOST_CRASHES_FIRST).ifPresent(s -> byPart.remove(s.part()));
    }

    /** Records that a target has responded to a part. */
    void addAnswered(PromptPartId part) {
        answeredParts.addLast(part);
        if (answeredParts.size() > MAX_ANSWERED_PARTS) {
            answeredParts.removeFirst();
        }
    }

    /** Removes what no longer counts; returns whether a crash was removed. */
    boolean removeExpired(long now) {
        boolean changed = false;
        for (Suspect s : byPart.values()) {
            changed |= s.removeOlderThan(CRASH_RETENTION, now);
        }
        byPart.values().removeIf(s -> !s.hasCrashes() && !isYoungerThan(CLEARED_RETENTION, s, now));
        return changed;
    }

    /** Returns the evidence to announce, the strongest first. */
    List<PartEvidence> evidence(long now) {
        return byPart.values().stream()
                .filter(s -> s.hasCrashes() || isYoungerThan(CLEARED_ANNOUNCEMENT, s, now))
                .sorted(MOST_CRASHES_FIRST)
                .map(s -> s.evidence(now))
                .toList();
    }

    private static boolean isYoungerThan(Duration age, Suspect suspect, long now) {
        return now - suspect.changedAt() < age.toNanos();
    }
}
