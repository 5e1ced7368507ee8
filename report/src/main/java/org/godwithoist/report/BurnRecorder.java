package org.godwithoist.report;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Function;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;

/**
 * Counts the finished requests of this daemon and writes the counts to the store. Thread-safe;
 * counting never waits for the store.
 */
public final class BurnRecorder implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Intervals retained while the store is unavailable; older ones are dropped and logged. */
    private static final int MAX_PENDING_INTERVALS = 60;

    /** Intervals to wait before a merge, so that rows of daemons that flush late are included. */
    private static final int MERGE_DELAY_INTERVALS = 2;

    /**
     * Fleet size up to which the current interval is also written before its end, every 5 s. With
     * 940 daemons these would be 188 of the several hundred writes per second that the store
     * permits.
     */
    private static final int MAX_MEMBERS_FOR_EARLY_WRITES = 50;

    private static final Duration FLUSH_INTERVAL = Duration.ofSeconds(5);

    private final BurnStore store;
    private final MemberDirectory members;
    private final Function<Priority, ServiceLevel> levels;
    private final InstantSource clock;
    private final Deque<IntervalCounts> pending = new ArrayDeque<>();
    private IntervalCounts current;
    private long lastMergedInterval;
    private volatile Thread task;

    /**
     * Creates a recorder; {@link #start} starts to write.
     *
     * @param levels service level of each priority
     */
    public BurnRecorder(
            BurnStore store,
            MemberDirectory members,
            Function<Priority, ServiceLevel> levels,
            InstantSource clock) {
        this.store = store;
        this.members = members;
        this.levels = levels;
        this.clock = clock;
        this.current = IntervalCounts.empty(IntervalCounts.numberOf(clock.instant()));
        this.lastMergedInterval = current.number() - MERGE_DELAY_INTERVALS;
    }

    // ---- counting

    /**
     * Counts a complete response.
     *
     * @param firstToken time to the first token, or to the response of a service
     * @param meanBetween mean time between tokens; zero if there was at most one token
     */
    public synchronized void recordResponse(
            SeriesKey key, Duration firstToken, Duration meanBetween) {
        ServiceLevel level = levels.apply(key.priority());
        SeriesCounts counts = series(key);
        boolean inTime =
                firstToken.compareTo(level.firstToken()) <= 0
                        && meanBetween.compareTo(level.betweenTokens()) <= 0;
        if (inTime) {
            counts.addGood(1);
        } else {
            counts.addLate(1);
        }
        counts.addFirstToken(micros(firstToken), 1);
    }

    /** Records the time between two tokens. */
    public synchronized void recordTimeBetweenTokens(SeriesKey key, Duration time) {
        series(key).addBetweenTokens(micros(time), 1);
    }

    /** Counts a request without a complete response. */
    public synchronized void recordFailure(SeriesKey key, RequestException failure) {
        Outcome outcome = failure.runState().allowsRetry() ? Outcome.REFUSED : Outcome.FAILED;
        series(key).add(outcome, failure.code(), 1);
    }

    private SeriesCounts series(SeriesKey key) {
        rollInterval();
        return current.getOrAdd(key);
    }

    private static long micros(Duration time) {
        return time.toNanos() / 1_000;
    }

    private void rollInterval() {
        long now = IntervalCounts.numberOf(clock.instant());
        if (now <= current.number()) {
            return;
        }
        if (!current.series().isEmpty()) {
            pending.add(current);
        }
        if (pending.size() > MAX_PENDING_INTERVALS) {
            LOG.atWarning().log(
                    "dropped the counts of interval %d, which could not be written to the store",
                    pending.poll().number());
        }
        current = IntervalCounts.empty(now);
    }

    // ---- writing

    /** Starts the task that writes this daemon's counts and merges the rows of the fleet. */
    public void start() {
        task =
                Tasks.start(
                        "burn-flush",
                        () -> {
                            while (Tasks.sleep(FLUSH_INTERVAL)) {
                                flushAndMerge();
                            }
                        });
    }

    /** Stops the task and writes the counts of the current interval. */
    @Override
    public void close() {
        if (task != null) {
            task.interrupt();
        }
        synchronized (this) {
            pending.add(current);
            current = IntervalCounts.empty(current.number() + 1);
        }
        flushAndMerge();
    }

    /**
     * Writes the finished intervals and, in a small fleet, the counts of the current one so far.
     * The responsive member with the lowest host id also merges the rows of the fleet.
     */
    void flushAndMerge() {
        try {
            flush();
            if (hasLowestResponsiveHostId()) {
                merge();
            }
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("cannot write or merge burn counts; retrying");
        }
    }

    private void flush() {
        List<IntervalCounts> endedIntervals;
        IntervalCounts partial;
        synchronized (this) {
            rollInterval();
            endedIntervals = List.copyOf(pending);
            partial = IntervalCounts.empty(current.number());
            partial.add(current);
        }
        Member self = members.self();
        // The row key contains daemon and interval, so a later write replaces this one.
        if (!partial.series().isEmpty()
                && members.members().size() <= MAX_MEMBERS_FOR_EARLY_WRITES) {
            store.write(self.host(), self.incarnation(), partial);
        }
        for (IntervalCounts counts : endedIntervals) {
            if (!counts.series().isEmpty()) {
                store.write(self.host(), self.incarnation(), counts);
            }
            synchronized (this) {
                pending.remove(counts);
            }
        }
    }

    private boolean hasLowestResponsiveHostId() {
        HostId self = members.self().host();
        return members.members().stream()
                .map(Member::host)
                .filter(h -> !members.isUnresponsive(h))
                .allMatch(h -> self.compareTo(h) <= 0);
    }

    private void merge() {
        long last = IntervalCounts.numberOf(clock.instant()) - MERGE_DELAY_INTERVALS;
        while (lastMergedInterval < last) {
            if (!store.merge(lastMergedInterval + 1)) {
                return;
            }
            lastMergedInterval++;
            store.delete(
                    lastMergedInterval - BurnWindow.SIX_HOURS.intervals() - MERGE_DELAY_INTERVALS);
        }
    }
}
