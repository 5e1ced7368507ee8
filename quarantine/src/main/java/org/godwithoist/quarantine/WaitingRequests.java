package org.godwithoist.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.targets.PromptPartId;

/**
 * Requests that wait at a target for the beginning of their response. They are withdrawn when their
 * prompt is quarantined, before they crash the target too. Thread-safe.
 */
public final class WaitingRequests {
    /** A request that is watched until it is closed. */
    public final class Entry {
        private final List<PromptPartId> prompt;
        private final Runnable withdraw;

        private Entry(List<PromptPartId> prompt, Runnable withdraw) {
            this.prompt = prompt;
            this.withdraw = withdraw;
        }

        /** Removes the request; one that is being withdrawn may still be. */
        public void close() {
            entries.remove(this);
        }
    }

    private final Set<Entry> entries = ConcurrentHashMap.newKeySet();
    private final Predicate<Collection<PromptPartId>> isQuarantined;

    WaitingRequests(Predicate<Collection<PromptPartId>> isQuarantined) {
        this.isQuarantined = isQuarantined;
    }

    /**
     * Adds a request.
     *
     * @param prompt shared parts of its prompt
     * @param withdraw takes the request back from its target if its response has not begun; may be
     *     called by any task, also after the request was removed, and at once if the prompt is
     *     quarantined already
     */
    public Entry add(List<PromptPartId> prompt, Runnable withdraw) {
        Entry entry = new Entry(prompt, withdraw);
        if (!prompt.isEmpty()) {
            entries.add(entry);
            if (isQuarantined.test(prompt)) {
                withdraw.run();
            }
        }
        return entry;
    }

    /** Withdraws the requests whose prompts are quarantined now, in a task of its own. */
    void withdrawQuarantined() {
        List<Entry> affected = entries.stream().filter(e -> isQuarantined.test(e.prompt)).toList();
        if (!affected.isEmpty()) {
            Tasks.start("withdraw-requests", () -> affected.forEach(e -> e.withdraw.run()));
        }
    }
}
