package org.godwithoist.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that wait for a slot of one service, in the order in which they get one: first those
 * within the share of their workspace; among them those that the floor of their kind guarantees,
 * then the more urgent, then those with less time left. Not thread-safe.
 */
final class AdmissionQueue {
    private static final Comparator<Ticket> BY_TIME_LEFT =
            (a, b) -> Long.signum(a.waitEndsAt() - b.waitEndsAt());
    private static final Comparator<Ticket> BY_URGENCY =
            Comparator.<Ticket>comparingInt(t -> t.request().priority())
                    .thenComparing(BY_TIME_LEFT);

    private final List<Ticket> waiting = new ArrayList<>();
    private final ShareCredits credits;
    private final KindFloors floors;
    private final DemandMeter meter;

    AdmissionQueue(ShareCredits credits, KindFloors floors, DemandMeter meter) {
        this.credits = credits;
        this.floors = floors;
        this.meter = meter;
    }

    void add(Ticket ticket) {
        waiting.add(ticket);
    }

    boolean remove(Ticket ticket) {
        return waiting.remove(ticket);
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns the waiting requests in the order in which they get slots. */
    List<Ticket> ordered() {
        if (waiting.size() <= 1) {
            return List.copyOf(waiting);
        }
        List<Ticket> byUrgency = new ArrayList<>(waiting);
        byUrgency.sort(BY_URGENCY);
        List<Ticket> withGuaranteed = guaranteedFirst(byUrgency);
        return withinShareFirst(withGuaranteed);
    }

    private List<Ticket> guaranteedFirst(List<Ticket> byUrgency) {
        List<Ticket> first = new ArrayList<>();
        List<Ticket> rest = new ArrayList<>();
        int[] taken = new int[KindFloors.KINDS];
        for (Ticket t : byUrgency) {
            int kind = Math.clamp(t.request().priority(), 0, KindFloors.KINDS - 1);
            boolean guaranteed = taken[kind] < floors.guaranteed(kind);
            taken[kind]++;
            (guaranteed ? first : rest).add(t);
        }
        first.addAll(rest);
        return first;
    }

    private List<Ticket> withinShareFirst(List<Ticket> tickets) {
        List<Ticket> within = new ArrayList<>();
        List<Ticket> beyond = new ArrayList<>();
        Map<WorkspaceKey, Double> ahead = new HashMap<>();
        for (Ticket t : tickets) {
            WorkspaceKey key = t.request().workspace();
            double before = ahead.getOrDefault(key, 0.0);
            (credits.covers(key, before) ? within : beyond).add(t);
            ahead.put(key, before + meter.holdSeconds(key));
        }
        within.addAll(beyond);
        return within;
    }
}
