package org.godwithoist.standins.edge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Places of a runner stand-in that has no queue and fails if it must reject too many requests for
 * want of a place. It is back after a time. A request leaves its place when its response begins.
 * Thread-safe.
 */
public final class LimitedPlaces {
    /** What happens to a request that arrives. */
    enum Admission {
        /** The request runs and has a place. */
        RUN,
        /** The request is rejected. */
        REJECT,
        /** The runner has failed and does not respond. */
        FAIL
    }

    private static final Duration REJECTION_WINDOW = Duration.ofSeconds(1);
    private static final Duration DOWNTIME = Duration.ofSeconds(2);

    private final int places;
    private final int maxRejections;
    private final Deque<Long> rejections = new ArrayDeque<>();
    private final List<Long> failures = new ArrayList<>();
    private int running;

    /**
     * Creates places without requests.
     *
     * @param places requests that run at the same time
     * @param maxRejections rejections in a second that the runner survives
     */
    public LimitedPlaces(int places, int maxRejections) {
        this.places = places;
        this.maxRejections = maxRejections;
    }

    /** Returns the rejections in a second that the runner survives. */
    int maxRejections() {
        return maxRejections;
    }

    /** Returns the number of requests that run now. */
    synchronized int running() {
        return running;
    }

    /** Records that a request arrives. */
    synchronized Admission enter() {
        long now = System.nanoTime();
        if (!failures.isEmpty() && now - failures.getLast() < DOWNTIME.toNanos()) {
            return Admission.FAIL;
        }
        if (running < places) {
            running++;
            return Admission.RUN;
        }
        rejections.addLast(now);
        while (now - rejections.peekFirst() >= REJECTION_WINDOW.toNanos()) {
            rejections.pollFirst();
        }
        if (rejections.size() > maxRejections) {
            rejections.clear();
            failures.add(now);
            return Admission.FAIL;
        }
        return Admission.REJECT;
    }

    /** Records that the response to a request that runs begins. */
    synchronized void leave() {
        running--;
    }

    /** Returns how often the runner has failed since a time of {@link System#nanoTime}. */
    public synchronized int failuresSince(long from) {
        return (int) failures.stream().filter(at -> at - from >= 0).count();
    }
}
