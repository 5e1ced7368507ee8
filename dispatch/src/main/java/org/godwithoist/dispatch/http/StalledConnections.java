package org.godwithoist.dispatch.http;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import org.godwithoist.dispatch.MemoryBudget;

/**
 * The connections of callers, of which those that make no progress give way when others need the
 * room: first those that have received no complete request, and among them the one that has held
 * the most memory for the longest time. If connections that stall hold a large part of the memory,
 * they give way sooner, so that the memory is not used up by more clients than fit into it, each of
 * which opens a new connection when one was closed. Thread-safe.
 */
public final class StalledConnections implements MemoryBudget.Relief {
    private static final Comparator<ConnectionActivity.Stall> ORDER =
            Comparator.comparing(ConnectionActivity.Stall::phase)
                    .thenComparing(
                            Comparator.comparingDouble(ConnectionActivity.Stall::cost).reversed());

    /** Share of the memory for requests from which connections that hold it are a crowd. */
    private static final double CROWD_SHARE = 0.25;

    /** Part of the longest stall after which the connections of a crowd give way. */
    private static final double CROWD_PORTION = 0.25;

    /** Part of the longest stall after which a connection is likely to stall. */
    private static final double LIKELY_PORTION = 0.1;

    private final long crowdBytes;
    private final Set<ConnectionActivity> activities = ConcurrentHashMap.newKeySet();
    private final LongAdder closed = new LongAdder();

    private StalledConnections(long crowdBytes) {
        this.crowdBytes = crowdBytes;
    }

    /**
     * Creates an instance without connections.
     *
     * @param maxHeapBytes maximum size of the heap
     */
    public static StalledConnections ofHeap(long maxHeapBytes) {
        double budget = MemoryBudget.ofHeap(maxHeapBytes).limitBytes();
        return new StalledConnections((long) (CROWD_SHARE * budget));
    }

    /** Adds a connection that is served. */
    public void add(ConnectionActivity activity) {
        activities.add(activity);
    }

    /** Removes a connection that has ended. */
    public void remove(ConnectionActivity activity) {
        activities.remove(activity);
    }

    /** Returns the number of connections that were closed to make room. */
    public long closed() {
        return closed.sum();
    }

    /** Returns a relief that closes only connections that hold memory of the budget. */
    public MemoryBudget.Relief memoryRelief() {
        return new MemoryBudget.Relief() {
            @Override
            public boolean makeRoom() {
                return closeOne(s -> s.held() > 0);
            }

            @Override
            public boolean mayMakeRoom() {
                return mayClose(s -> s.held() > 0);
            }
        };
    }

    @Override
    public boolean makeRoom() {
        return closeOne(s -> true);
    }

    /**
     * Returns whether a connection is likely to stall, or the request of a caller that has left
     * still holds memory.
     */
    @Override
    public boolean mayMakeRoom() {
        return mayClose(s -> true);
    }

    private boolean closeOne(Predicate<ConnectionActivity.Stall> condition) {
        List<ConnectionActivity.Stall> waiting =
                activities.stream()
                        .map(ConnectionActivity::stall)
                        .filter(s -> s.portion() >= CROWD_PORTION)
                        .sorted(ORDER)
                        .toList();
        long held = waiting.stream().mapToLong(ConnectionActivity.Stall::held).sum();
        double minPortion = held >= crowdBytes ? CROWD_PORTION : 1;
        // Another task may close the first one at the same moment; then the next one is closed.
        boolean madeRoom =
                waiting.stream()
                        .filter(s -> s.portion() >= minPortion && condition.test(s))
                        .anyMatch(s -> s.activity().closeStalled(minPortion));
        if (madeRoom) {
            closed.increment();
        }
        return madeRoom;
    }

    private boolean mayClose(Predicate<ConnectionActivity.Stall> condition) {
        return activities.stream()
                .filter(a -> condition.test(a.stall()))
                .anyMatch(a -> a.hasEnded() || a.stall().portion() >= LIKELY_PORTION);
    }
}
