package org.godwithoist.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.godwithoist.core.task.Tasks;

/**
 * Requests that wait at a target for the beginning of their response. They are withdrawn when they
 * are quarantined, before they crash the target too. Thread-safe.
 */
public final class WaitingRequests {
    /** A request that is watched until it is closed. */
    public final class Entry {
        private final List<SuspectId> suspectIds;
        private final Runnable withdraw;

        private Entry(List<SuspectId> suspectIds, Runnable withdraw) {
            this.suspectIds = suspectIds;
            this.withdraw = withdraw;
        }

        /** Removes the request; one that is being withdrawn may still be. */
        public void close() {
            entries.remove(this);
        }
    }

    private final Set<Entry> entries = ConcurrentHashMap.newKeySet();
    private final Predicate<Collection<SuspectId>> isQuarantined;

    WaitingRequests(Predicate<Collection<SuspectId>> isQuarantined) {
        this.isQuarantined = isQuarantined;
    }

    /**
     * Adds a request.
     *
     * @param suspectIds shared parts of its prompt, and the request itself
     * @param withdraw takes the request back from its target if its response has not begun; may be
     *     called by any task, also after the request was removed, and at once if the request is
     *     quarantined already
     */
    public Entry add(List<SuspectId> suspectIds, Runnable withdraw) {
        Entry entry = new Entry(suspectIds, withdraw);
        if (!suspectIds.isEmpty()) {
            entries.add(entry);
            if (isQuarantined.test(suspectIds)) {
                withdraw.run();
            }
        }
        return entry;
    }

    /** Withdraws the requests that are quarantined now, in a task of its own. */
    void withdrawQuarantined() {
        List<Entry> affected =
                entries.stream().filter(e -> isQuarantined.test(e.suspectIds)).toList();
        if (!affected.isEmpty()) {
            Tasks.start("withdraw-requests", () -> affected.forEach(e -> e.withdraw.run()));
        }
    }
}
