package org.godwithoist.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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
     *
     * @param history times of the crashes
     */
    static List<Blame> assign(Collection<Suspect> suspects, CrashHistory history) {
        List<Suspect> ordered = suspects.stream().sorted(MOST_SUSPICIOUS_FIRST).toList();
        List<Blame> blames = new ArrayList<>();
        Set<CrashId> explained = new HashSet<>();
        for (Suspect s : ordered) {
            Set<CrashId> unexplained = difference(s.crashIds(), explained);
            if (suffice(unexplained, s, history) && !hasRival(s, unexplained, ordered, explained)) {
                int excess = unexplained.size() - s.reputation().crashesToQuarantine();
                blames.addAll(blame(s, ordered, excess));
                explained.addAll(unexplained);
            }
        }
        return blames;
    }

    /**
     * Returns whether crashes are enough to blame a suspect. One crash more is needed to blame a
     * request if some of them may have had a cause that ended other targets too.
     */
    private static boolean suffice(Set<CrashId> crashes, Suspect suspect, CrashHistory history) {
        int needed = suspect.reputation().crashesToQuarantine();
        if (!suspect.suspectId().isRequest() || crashes.size() > needed) {
            return crashes.size() >= needed;
        }
        return crashes.stream().filter(c -> !history.isAccompanied(c, suspect.crashIds())).count()
                == needed;
    }

    private static List<Blame> blame(Suspect suspect, List<Suspect> all, int excess) {
        Set<SuspectId> suspectIds = indistinguishable(suspect, all);
        Stream<Set<SuspectId>> sets =
                suspect.suspectId().isRequest()
                        ? suspectIds.stream().map(Set::of)
                        : Stream.of(suspectIds);
        int crashes = suspect.crashIds().size();
        return sets.map(ids -> new Blame(ids, crashes, excess, suspect.lastCrashAt())).toList();
    }

    /**
     * Returns whether a request cannot be told apart from another one that was present in some of
     * the same crashes and in as many as this one. None of them is refused then, until a response
     * clears one or another crash tells them apart.
     */
    private static boolean hasRival(
            Suspect request, Set<CrashId> unexplained, List<Suspect> all, Set<CrashId> explained) {
        if (!request.suspectId().isRequest()
                || unexplained.size() >= request.reputation().certainCrashes()) {
            return false;
        }
        return all.stream()
                .filter(s -> s != request && s.reputation() == request.reputation())
                .map(s -> difference(s.crashIds(), explained))
                .filter(crashes -> crashes.size() >= unexplained.size())
                .anyMatch(crashes -> !Collections.disjoint(crashes, unexplained));
    }

    private static Set<CrashId> difference(Set<CrashId> crashes, Set<CrashId> explained) {
        Set<CrashId> difference = new HashSet<>(crashes);
        difference.removeAll(explained);
        return difference;
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
