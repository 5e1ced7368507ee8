package org.godwithoist.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Queue of the demand of a shard. Higher priorities are served first; within a priority, workspaces
 * are served by start-time fair queueing. The share of a workspace without demand is used by the
 * others. When the workspace has demand again, its tag is the current virtual time: it gets the
 * next free slot, but no credit for the time without demand. Not thread-safe.
 */
final class FairQueue {
    /**
     * Demand that gets a slot.
     *
     * @param holder holder that gets the slot
     * @param workspace workspace of the demand
     * @param priority priority as reported by the holder
     */
    record Selection(HostId holder, WorkspaceId workspace, Priority priority) {}

    private static final class Entry {
        final HostId holder;
        final WorkspaceId workspace;
        final Priority priority;
        final long waitingSince;
        int count;

        Entry(HostId holder, SlotReport.Demand d, long now) {
            this.holder = holder;
            this.workspace = d.workspace();
            this.priority = d.priority();
            this.waitingSince = now - d.oldestWait().toNanos();
            this.count = d.count();
        }
    }

    /** Virtual time of one priority; shares apply within each priority. */
    private static final class PriorityClock {
        private double virtualTime;
        private final Map<WorkspaceId, Double> nextTag = new HashMap<>();

        double tag(WorkspaceId w) {
            return Math.max(virtualTime, nextTag.getOrDefault(w, 0.0));
        }

        void advance(WorkspaceId w, int share) {
            double tag = tag(w);
            virtualTime = tag;
            nextTag.put(w, tag + 1.0 / Math.max(1, share));
        }
    }

    private final Duration backgroundAgingDelay;
    private final Map<TargetId, List<Entry>> waiting = new HashMap<>();
    private final Map<HostId, Set<TargetId>> targetsOf = new HashMap<>();
    private final Map<Priority, PriorityClock> clocks = new EnumMap<>(Priority.class);

    FairQueue(Duration backgroundAgingDelay) {
        this.backgroundAgingDelay = backgroundAgingDelay;
        for (Priority p : Priority.values()) {
            clocks.put(p, new PriorityClock());
        }
    }

    /** Replaces all demand of a holder. */
    void replace(HostId holder, List<SlotReport.Demand> demands, long now) {
        Set<TargetId> before = targetsOf.remove(holder);
        if (before != null) {
            for (TargetId t : before) {
                removeEntries(t, holder);
            }
        }
        for (SlotReport.Demand d : demands) {
            if (d.count() > 0) {
                waiting.computeIfAbsent(d.target(), t -> new ArrayList<>())
                        .add(new Entry(holder, d, now));
                targetsOf.computeIfAbsent(holder, h -> new HashSet<>()).add(d.target());
            }
        }
    }

    private void removeEntries(TargetId target, HostId holder) {
        List<Entry> list = waiting.get(target);
        if (list == null) {
            return;
        }
        list.removeIf(e -> e.holder.equals(holder));
        if (list.isEmpty()) {
            waiting.remove(target);
        }
    }

    /** Returns the targets with demand. */
    List<TargetId> targets() {
        return List.copyOf(waiting.keySet());
    }

    int waiting(TargetId target) {
        int sum = 0;
        for (Entry e : waiting.getOrDefault(target, List.of())) {
            sum += e.count;
        }
        return sum;
    }

    /**
     * Removes and returns the demand that gets the next slot of a target; empty if there is none.
     */
    Optional<Selection> take(TargetId target, long now, ToIntFunction<WorkspaceId> share) {
        List<Entry> list = waiting.get(target);
        if (list == null) {
            return Optional.empty();
        }
        Entry best = list.get(0);
        for (Entry e : list) {
            if (isBefore(e, best, now)) {
                best = e;
            }
        }
        clocks.get(effectivePriority(best, now))
                .advance(best.workspace, share.applyAsInt(best.workspace));
        best.count--;
        if (best.count == 0) {
            list.remove(best);
            if (list.isEmpty()) {
                waiting.remove(target);
            }
        }
        return Optional.of(new Selection(best.holder, best.workspace, best.priority));
    }

    private boolean isBefore(Entry a, Entry b, long now) {
        Priority pa = effectivePriority(a, now);
        Priority pb = effectivePriority(b, now);
        if (pa != pb) {
            return pa.precedes(pb);
        }
        PriorityClock clock = clocks.get(pa);
        int byTag = Double.compare(clock.tag(a.workspace), clock.tag(b.workspace));
        return byTag != 0 ? byTag < 0 : a.waitingSince - b.waitingSince < 0;
    }

    private Priority effectivePriority(Entry e, long now) {
        return e.priority.aged(Duration.ofNanos(now - e.waitingSince), backgroundAgingDelay);
    }
}
