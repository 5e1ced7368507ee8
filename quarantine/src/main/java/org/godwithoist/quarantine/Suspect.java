package org.godwithoist.quarantine;

import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.SequencedSet;
import java.util.Set;
import org.godwithoist.targets.PrefixKey;

/**
 * A part of the prompt of a request under which a target crashed, or that request. Instants are in
 * nanoseconds of the ticker. Not thread-safe.
 */
final class Suspect {
    /** Maximum number of crashes that are kept, the latest ones. */
    static final int MAX_CRASHES = 8;

    /** Maximum number of cleared crashes that are kept, the last ones. */
    private static final int MAX_CLEARED = 16;

    /**
     * A crash that counts against the suspect.
     *
     * @param occurredAt time of the crash
     * @param learnedAt time at which this daemon learned of it
     * @param prompt hash of all shared parts of the prompt
     */
    private record Crash(long occurredAt, long learnedAt, PrefixKey prompt) {}

    private final SuspectId suspectId;
    private final Map<CrashId, Crash> crashes = new HashMap<>();
    private final SequencedSet<CrashId> cleared = new LinkedHashSet<>();
    private boolean answered;
    private long changedAt;

    Suspect(SuspectId suspectId, long now) {
        this.suspectId = suspectId;
        changedAt = now;
    }

    SuspectId suspectId() {
        return suspectId;
    }

    Reputation reputation() {
        if (suspectId.isRequest()) {
            return answered ? Reputation.ANSWERED_REQUEST : Reputation.SINGLE_REQUEST;
        }
        boolean onePrompt = crashes.values().stream().map(Crash::prompt).distinct().count() <= 1;
        return answered || !onePrompt ? Reputation.COMMON : Reputation.SUSPICIOUS;
    }

    /** Returns the crashes that count against the suspect. */
    Set<CrashId> crashIds() {
        return crashes.keySet();
    }

    boolean hasCrashes() {
        return !crashes.isEmpty();
    }

    /** Returns the time of the latest crash; must not be called without crashes. */
    long lastCrashAt() {
        return crashes.values().stream().mapToLong(Crash::occurredAt).max().orElseThrow();
    }

    /** Returns when the evidence last changed. */
    long changedAt() {
        return changedAt;
    }

    /** Adds a crash; returns whether it counts and was unknown. */
    boolean addCrash(CrashId id, PrefixKey prompt, long occurredAt, long now) {
        if (cleared.contains(id) || crashes.containsKey(id)) {
            return false;
        }
        crashes.put(id, new Crash(occurredAt, now, prompt));
        if (crashes.size() > MAX_CRASHES) {
            CrashId oldest = oldestCrash();
            crashes.remove(oldest);
            if (oldest.equals(id)) {
                return false;
            }
        }
        changedAt = now;
        return true;
    }

    private CrashId oldestCrash() {
        return crashes.entrySet().stream()
                .min(Comparator.comparingLong(e -> e.getValue().occurredAt()))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    /** Returns whether targets have responded to the suspect. */
    boolean isAnswered() {
        return answered;
    }

    /** Records that targets have responded to the suspect; returns whether it was unknown. */
    boolean setAnswered(long now) {
        if (answered) {
            return false;
        }
        answered = true;
        changedAt = now;
        return true;
    }

    /**
     * Clears the crashes that this daemon knew of when a target began to respond. Only these are
     * certain to have come before the response, because the clocks of two daemons differ.
     *
     * @return whether a crash was cleared
     */
    boolean clearKnownAt(long respondedAt, long now) {
        Set<CrashId> known = new HashSet<>();
        crashes.forEach(
                (id, crash) -> {
                    if (crash.learnedAt() - respondedAt < 0) {
                        known.add(id);
                    }
                });
        return clear(known, now);
    }

    /** Clears crashes; returns whether one of them was not cleared yet. */
    boolean clear(Set<CrashId> ids, long now) {
        if (cleared.containsAll(ids)) {
            return false;
        }
        cleared.addAll(ids);
        crashes.keySet().removeAll(ids);
        while (cleared.size() > MAX_CLEARED) {
            cleared.removeFirst();
        }
        changedAt = now;
        return true;
    }

    /** Returns whether one of the crashes was cleared. */
    boolean hasCleared(Set<CrashId> ids) {
        return !Collections.disjoint(cleared, ids);
    }

    /** Makes the evidence count as changed now, so that the other daemons are told again. */
    void announceAgain(long now) {
        changedAt = now;
    }

    /** Removes crashes that are too old to count; returns whether there was one. */
    boolean removeOlderThan(Duration age, long now) {
        return crashes.values().removeIf(c -> now - c.occurredAt() >= age.toNanos());
    }

    SuspectEvidence evidence(long now) {
        Map<CrashId, CrashReport> reports = new HashMap<>();
        crashes.forEach(
                (id, c) -> {
                    Duration age = Duration.ofNanos(now - c.occurredAt());
                    reports.put(id, new CrashReport(age, c.prompt()));
                });
        return new SuspectEvidence(suspectId, answered, reports, cleared);
    }
}
