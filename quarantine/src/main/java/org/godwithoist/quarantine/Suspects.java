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

/**
 * The suspects, and the prompt parts and requests that targets have responded to. All are limited
 * in number, because callers choose what they are. Instants are in nanoseconds of the ticker. Not
 * thread-safe.
 */
final class Suspects {
    /**
     * Time for which a crash counts. It is longer than a quarantine, so that the first crash after
     * one quarantines the suspect again.
     */
    static final Duration CRASH_RETENTION = Duration.ofHours(2);

    /**
     * Time for which the clearing of crashes is announced to the other daemons, and a crash under
     * which single requests ran that are not suspicious yet. Each crash leaves as many of these as
     * its target was running.
     */
    private static final Duration SHORT_ANNOUNCEMENT = Duration.ofSeconds(5);

    /**
     * Time for which cleared crashes are remembered, in case that a daemon which was paused
     * announces them again, or that the store was away and comes back with their row.
     */
    private static final Duration CLEARED_RETENTION = Duration.ofMinutes(10);

    private static final int MAX_SUSPECTS = 256;
    private static final int MAX_ANSWERED = 2000;

    /** Among suspects with equally many crashes, the one that changed last comes first. */
    private static final Comparator<Suspect> MOST_CRASHES_FIRST =
            Comparator.<Suspect>comparingInt(s -> s.crashIds().size())
                    .thenComparingLong(Suspect::changedAt)
                    .reversed();

    private final Map<SuspectId, Suspect> byId = new HashMap<>();
    private final CrashHistory history = new CrashHistory();

    /** Parts that targets have responded to, the least recently used one first. */
    private final SequencedSet<SuspectId> answeredParts = new LinkedHashSet<>();

    /** Requests that targets have responded to. Most are never repeated, so they have own room. */
    private final SequencedSet<SuspectId> answeredRequests = new LinkedHashSet<>();

    /** Returns the times of the crashes. */
    CrashHistory history() {
        return history;
    }

    Collection<Suspect> all() {
        return Collections.unmodifiableCollection(byId.values());
    }

    Optional<Suspect> find(SuspectId suspectId) {
        return Optional.ofNullable(byId.get(suspectId));
    }

    /** Returns the suspect with an id; it is added if it is unknown. */
    Suspect findOrAdd(SuspectId suspectId, long now) {
        Suspect known = byId.get(suspectId);
        if (known != null) {
            return known;
        }
        if (byId.size() >= MAX_SUSPECTS) {
            removeLeastSuspicious();
        }
        Suspect suspect = new Suspect(suspectId, now);
        if (answered(suspectId).contains(suspectId)) {
            suspect.setAnswered(now);
        }
        byId.put(suspectId, suspect);
        return suspect;
    }

    private void removeLeastSuspicious() {
        byId.values().stream().max(MOST_CRASHES_FIRST).ifPresent(s -> byId.remove(s.suspectId()));
    }

    /** Records that a target has responded to a suspect. */
    void addAnswered(SuspectId suspectId) {
        SequencedSet<SuspectId> answered = answered(suspectId);
        answered.addLast(suspectId);
        if (answered.size() > MAX_ANSWERED) {
            answered.removeFirst();
        }
    }

    private SequencedSet<SuspectId> answered(SuspectId suspectId) {
        return suspectId.isRequest() ? answeredRequests : answeredParts;
    }

    /** Removes what no longer counts; returns whether a crash was removed. */
    boolean removeExpired(long now) {
        boolean changed = false;
        for (Suspect s : byId.values()) {
            changed |= s.removeOlderThan(CRASH_RETENTION, now);
        }
        byId.values().removeIf(s -> !s.hasCrashes() && !isYoungerThan(CLEARED_RETENTION, s, now));
        return changed;
    }

    /** Returns the evidence to announce, the strongest first. */
    List<SuspectEvidence> evidence(long now) {
        return byId.values().stream()
                .filter(s -> isSuspicious(s) || isYoungerThan(SHORT_ANNOUNCEMENT, s, now))
                .sorted(MOST_CRASHES_FIRST)
                .map(s -> s.evidence(now))
                .toList();
    }

    private static boolean isSuspicious(Suspect suspect) {
        int crashesNeeded =
                suspect.suspectId().isRequest() ? suspect.reputation().crashesToQuarantine() : 1;
        return suspect.crashIds().size() >= crashesNeeded;
    }

    private static boolean isYoungerThan(Duration age, Suspect suspect, long now) {
        return now - suspect.changedAt() < age.toNanos();
    }
}
