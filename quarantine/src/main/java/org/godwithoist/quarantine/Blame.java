package org.godwithoist.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Suspects that are blamed for crashes. Prompt parts that only ever occurred together cannot be
 * told apart, so they are blamed together, and a request is affected only if it contains all of
 * them. A request is blamed by itself.
 *
 * @param suspectIds ids of the suspects
 * @param crashes number of crashes in which they were present
 * @param excessCrashes number of crashes beyond those that it takes to be blamed
 * @param lastCrashAt time of the latest of these crashes
 */
record Blame(Set<SuspectId> suspectIds, int crashes, int excessCrashes, long lastCrashAt) {
    /**
     * Suspicious parts come first, because a part that is shared with sound requests is present in
     * the same crashes as the one that causes them.
     */
    private static final Comparator<Suspect> MOST_SUSPICIOUS_FIRST =
            Comparator.comparing(Suspect::reputation)
                    .thenComparingInt(s -> -s.crashIds().size())
                    .thenComparing(Suspect::suspectId);

    /**
     * Decides which suspects are to blame. A crash is explained by one blame; a suspect whose other
     * crashes are too few is not blamed.
     */
    static List<Blame> assign(Collection<Suspect> suspects) {
        List<Suspect> ordered = suspects.stream().sorted(MOST_SUSPICIOUS_FIRST).toList();
        List<Blame> blames = new ArrayList<>();
        Set<CrashId> explained = new HashSet<>();
        for (Suspect s : ordered) {
            Set<CrashId> unexplained = new HashSet<>(s.crashIds());
            unexplained.removeAll(explained);
            int excess = unexplained.size() - s.reputation().crashesToQuarantine();
            if (excess >= 0) {
                Set<SuspectId> suspectIds = indistinguishable(s, ordered);
                blames.add(new Blame(suspectIds, s.crashIds().size(), excess, s.lastCrashAt()));
                explained.addAll(unexplained);
            }
        }
        return blames;
    }

    /** Returns the suspects with the same reputation and the same crashes. */
    private static Set<SuspectId> indistinguishable(Suspect suspect, List<Suspect> all) {
        return all.stream()
                .filter(s -> s.reputation() == suspect.reputation())
                .filter(s -> s.crashIds().equals(suspect.crashIds()))
                .map(Suspect::suspectId)
                .collect(Collectors.toUnmodifiableSet());
    }
}
