package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/**
 * Targets whose entries the store has removed. A store that is restored from an older copy lists
 * them again, and they must not be used. An entry that is still listed after {@link #HOLD_TIME} is
 * of a target that runs, because the entries of others expire. Not thread-safe.
 */
final class DepartedTargets {
    /** Longer than the silence after which the store removes an entry. */
    static final Duration HOLD_TIME = Duration.ofSeconds(10);

    /** Maximum number of incarnations; the oldest are forgotten first. */
    private static final int MAX_INCARNATIONS = 4096;

    private final Ticker ticker;

    /** Whether each incarnation was draining or leaving when its entry was removed. */
    private final SequencedMap<TargetIncarnation, Boolean> leaving = new LinkedHashMap<>();

    /** Entries of departed targets that the restored store lists. */
    private final Map<TargetId, HeldEntry> held = new HashMap<>();

    private long heldUntil;

    /**
     * An entry that is not used.
     *
     * @param isLeaving whether the target was draining or leaving, so that it is never used again
     */
    private record HeldEntry(TargetEntry entry, boolean isLeaving) {}

    DepartedTargets(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Records that an entry was removed.
     *
     * @param isLeaving whether the target was draining or leaving, so that it never returns
     */
    void add(TargetIncarnation incarnation, boolean isLeaving) {
        leaving.remove(incarnation);
        leaving.put(incarnation, isLeaving);
        if (leaving.size() > MAX_INCARNATIONS) {
            leaving.pollFirstEntry();
        }
    }

    /** Records that the store lists an incarnation, or that it has removed the entry again. */
    void remove(TargetIncarnation incarnation) {
        leaving.remove(incarnation);
        forgetHeld(incarnation.id());
    }

    /** Forgets the held entry of a target. */
    void forgetHeld(TargetId id) {
        held.remove(id);
    }

    /**
     * Returns the entries of a restored store that may be used, and holds those of targets that
     * departed before.
     */
    List<TargetEntry> holdDeparted(Collection<TargetEntry> entries) {
        held.clear();
        heldUntil = ticker.nanos() + HOLD_TIME.toNanos();
        List<TargetEntry> usable = new ArrayList<>();
        for (TargetEntry e : entries) {
            Boolean wasLeaving = leaving.get(e.incarnation());
            if (wasLeaving == null) {
                usable.add(e);
            } else {
                held.put(e.id(), new HeldEntry(e, wasLeaving));
            }
        }
        return usable;
    }

    /** Returns the entries that are not held, when the same store has been read again. */
    List<TargetEntry> withoutHeld(Collection<TargetEntry> entries) {
        return entries.stream().filter(e -> !isHeld(e)).toList();
    }

    private boolean isHeld(TargetEntry entry) {
        HeldEntry known = held.get(entry.id());
        return known != null && known.entry().equals(entry);
    }

    /** Returns the held entries that are still listed after the hold time, once. */
    List<TargetEntry> takeReleased() {
        if (held.isEmpty() || ticker.nanos() - heldUntil < 0) {
            return List.of();
        }
        List<TargetEntry> released =
                held.values().stream().filter(h -> !h.isLeaving()).map(HeldEntry::entry).toList();
        released.forEach(e -> held.remove(e.id()));
        return released;
    }
}
