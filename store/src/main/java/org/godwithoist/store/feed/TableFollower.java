package org.godwithoist.store.feed;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;

/** Reads a table and its changes in a task of its own, and passes them to a listener. */
public final class TableFollower {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(800);

    private final TableFeed feed;
    private final FeedListener listener;
    private final Timing timing;
    private final RandomGenerator random;

    /** Version up to which the rows are known; empty before the first snapshot. */
    private Optional<StoreVersion> knownVersion = Optional.empty();

    private boolean snapshotNeeded = true;
    private Duration backoff = INITIAL_BACKOFF;
    private boolean unavailable;

    /**
     * Timing of the requests of a follower.
     *
     * @param maxWait maximum wait for changes; also limits how long a lost request remains
     *     undetected
     * @param coalescingDelay delay between a response with changes and the next request, so that
     *     changes in quick succession are read by one request; a change is received at most this
     *     much later
     * @param restoreSpread maximum random delay of the snapshot of a restored store, which all
     *     daemons read at the same time
     */
    public record Timing(
            Duration maxWait,
            Supplier<Duration> coalescingDelay,
            Supplier<Duration> restoreSpread) {}

    /**
     * Creates a follower; {@link #start} starts it.
     *
     * @param random jitter of the backoff, so that daemons that lost the store at the same time do
     *     not retry at the same time
     */
    public TableFollower(
            TableFeed feed, FeedListener listener, Timing timing, RandomGenerator random) {
        this.feed = feed;
        this.listener = listener;
        this.timing = timing;
        this.random = random;
    }

    /** Aborts the request in progress and sends a new one, because the store may have lost it. */
    public void restartRequest() {
        feed.abortRequest();
    }

    /** Starts the task; interrupt the returned thread to stop it. */
    public Thread start(String name, Supervisor supervisor) {
        return supervisor.start(name, this::run);
    }

    private void run() {
        boolean running = true;
        while (running) {
            running = pollOnce();
        }
    }

    /**
     * Sends one request, then waits for the coalescing delay or the backoff; returns false if the
     * task was interrupted.
     */
    boolean pollOnce() {
        try {
            boolean wasUnavailable = unavailable;
            boolean changed = snapshotNeeded ? readAll() : readChanges(knownVersion.orElseThrow());
            backoff = INITIAL_BACKOFF;
            unavailable = false;
            // The transfer of missed changes may have taken long; further ones must not wait.
            return !changed || wasUnavailable || Tasks.sleep(timing.coalescingDelay().get());
        } catch (EraChangedException e) {
            snapshotNeeded = true;
            return sleepRandomly(timing.restoreSpread().get());
        } catch (HistoryExpiredException e) {
            snapshotNeeded = true;
            return true;
        } catch (IOException e) {
            unavailable = true;
            listener.onUnavailable(e.getMessage());
            return waitForBackoff();
        }
    }

    /** Returns false, so that changes during the read are requested immediately. */
    private boolean readAll() throws IOException {
        applySnapshot(feed.readAll());
        return false;
    }

    private void applySnapshot(FeedPage page) {
        listener.onAvailable();
        if (knownVersion.isPresent() && !knownVersion.get().sameEra(page.version())) {
            listener.onRestoredSnapshot(page.rows());
        } else {
            listener.onSnapshot(page.rows());
        }
        knownVersion = Optional.of(page.version());
        snapshotNeeded = false;
    }

    /** Returns whether rows have changed. */
    private boolean readChanges(StoreVersion afterVersion)
            throws IOException, HistoryExpiredException {
        // The first request after a failure does not wait for changes, so that the recovery of the
        // store is detected immediately.
        FeedPage page = feed.changes(afterVersion, unavailable ? Duration.ZERO : timing.maxWait());
        if (!page.version().sameEra(afterVersion)) {
            applySnapshot(page);
            return false;
        }
        listener.onAvailable();
        if (!page.rows().isEmpty()) {
            listener.onChanges(page.rows());
        }
        knownVersion = Optional.of(afterVersion.max(page.version()));
        return !page.rows().isEmpty();
    }

    private boolean waitForBackoff() {
        Duration half = backoff.dividedBy(2);
        backoff = Durations.min(backoff.multipliedBy(2), MAX_BACKOFF);
        return Tasks.sleep(half) && sleepRandomly(half);
    }

    /** Waits for a random time up to the given one; returns false if the task was interrupted. */
    private boolean sleepRandomly(Duration maxTime) {
        return Tasks.sleep(Duration.ofMillis(random.nextLong(maxTime.toMillis() + 1)));
    }
}
