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
    record Pick(HostId holder, WorkspaceId workspace, Priority priority) {}

    private static final class Entry {
        final HostId holder;
        final WorkspaceId workspace;
        final Priority priority;
        final long since;
        int count;

        Entry(HostId holder, SlotReport.Demand d, long now) {
            this.holder = holder;
            this.workspace = d.workspace();
            this.priority = d.priority();
            this.since = now - d.waited().toNanos();
            this.count = d.count();
        }
    }

    /** Virtual time of one priority; shares apply within each priority. */
    private static final class Lane {
        private double virtualTime;
        private final Map<WorkspaceId, Double> nextTag = new HashMap<>();

        double tag(WorkspaceId w) {
            return Math.max(virtualTime, nextTag.getOrDefault(w, 0.0));
        }

        void serve(WorkspaceId w, int share) {
            double tag = tag(w);
            virtualTime = tag;
            nextTag.put(w, tag + 1.0 / Math.max(1, share));
        }
    }

    private final Duration ageAfter;
    private final Map<TargetId, List<Entry>> waiting = new HashMap<>();
    private final Map<HostId, Set<TargetId>> targetsOf = new HashMap<>();
    private final Map<Priority, Lane> lanes = new EnumMap<>(Priority.class);

    FairQueue(Duration ageAfter) {
        this.ageAfter = ageAfter;
        for (Priority p : Priority.values()) {
            lanes.put(p, new Lane());
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
    Optional<Pick> take(TargetId target, long now, ToIntFunction<WorkspaceId> share) {
        List<Entry> list = waiting.get(target);
        if (list == null) {
            return Optional.empty();
        }
        Entry best = list.get(0);
        for (Entry e : list) {
            if (goesBefore(e, best, now)) {
                best = e;
            }
        }
        lanes.get(aged(best, now)).serve(best.workspace, share.applyAsInt(best.workspace));
        best.count--;
        if (best.count == 0) {
            list.remove(best);
            if (list.isEmpty()) {
                waiting.remove(target);
            }
        }
        return Optional.of(new Pick(best.holder, best.workspace, best.priority));
    }

    private boolean goesBefore(Entry a, Entry b, long now) {
        Priority pa = aged(a, now);
        Priority pb = aged(b, now);
        if (pa != pb) {
            return pa.precedes(pb);
        }
        Lane lane = lanes.get(pa);
        int byTag = Double.compare(lane.tag(a.workspace), lane.tag(b.workspace));
        return byTag != 0 ? byTag < 0 : a.since - b.since < 0;
    }

    private Priority aged(Entry e, long now) {
        return e.priority.aged(Duration.ofNanos(now - e.since), ageAfter);
    }
}
