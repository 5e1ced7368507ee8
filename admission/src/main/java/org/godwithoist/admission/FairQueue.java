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
 * Waiting demand of a shard. A higher priority goes first; within a priority, start-time fair
 * queueing over workspaces. A workspace without demand lends its share; when it has demand again
 * its tag is the current virtual time, so it gets the next freed slot but no credit for the past.
 * Not thread-safe.
 */
final class FairQueue {
    /**
     * Demand that is served now.
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

    /** Virtual time of one priority; shares are accounted per priority. */
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

    /** Returns the targets for which requests wait. */
    List<TargetId> targets() {
        return List.copyOf(waiting.keySet());
    }

    /** Returns the number of requests that wait for a target. */
    int waiting(TargetId target) {
        int sum = 0;
        for (Entry e : waiting.getOrDefault(target, List.of())) {
            sum += e.count;
        }
        return sum;
    }

    /** Takes the demand that gets the next slot of a target. */
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
