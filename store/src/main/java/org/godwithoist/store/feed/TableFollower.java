package org.godwithoist.store.feed;

import java.io.IOException;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;

/** Reads a table and its changes in a task of its own, and passes them to a listener. */
public final class TableFollower {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

    private final TableFeed feed;
    private final FeedListener listener;
    private final Timing timing;
    private final RandomGenerator random;
    private OptionalLong known = OptionalLong.empty();
    private Duration pause = FIRST_PAUSE;
    private boolean away;

    /**
     * Timing of the requests of a follower.
     *
     * @param longestWait maximum wait for changes; also limits how long a lost request remains
     *     undetected
     * @param pace delay between a response with changes and the next request, which coalesces
     *     changes in quick succession into one request; also the maximum delay of a change
     */
    public record Timing(Duration longestWait, Supplier<Duration> pace) {}

    /**
     * Creates a follower; {@link #start} starts it.
     *
     * @param random jitter of the backoff, for daemons that lost the store at the same time
     */
    public TableFollower(
            TableFeed feed, FeedListener listener, Timing timing, RandomGenerator random) {
        this.feed = feed;
        this.listener = listener;
        this.timing = timing;
        this.random = random;
    }

    /** Aborts the request in progress and sends a new one, because the store may have lost it. */
    public void refresh() {
        feed.interrupt();
    }

    /** Starts the task; interrupt the returned thread to stop it. */
    public Thread start(String name) {
        return Tasks.start(name, this::run);
    }

    private void run() {
        boolean goOn = true;
        while (goOn) {
            goOn = step();
        }
    }

    /** Sends one request and waits as required; returns false if the task was interrupted. */
    boolean step() {
        try {
            boolean changed = known.isEmpty() ? readAll() : readChanges(known.getAsLong());
            pause = FIRST_PAUSE;
            away = false;
            return !changed || Tasks.sleep(timing.pace().get());
        } catch (HistoryGoneException e) {
            known = OptionalLong.empty();
            return true;
        } catch (IOException e) {
            away = true;
            listener.away(e.getMessage());
            return pauseAfterFailure();
        }
    }

    /** Returns false, so that changes during the read are requested immediately. */
    private boolean readAll() throws IOException {
        FeedPage page = feed.readAll();
        listener.answers();
        listener.replaced(page.rows());
        known = OptionalLong.of(page.version());
        return false;
    }

    /** Returns whether rows have changed. */
    private boolean readChanges(long after) throws IOException, HistoryGoneException {
        // The first request after a failure does not wait for changes, so that the recovery of the
        // store is detected immediately.
        FeedPage page = feed.changes(after, away ? Duration.ZERO : timing.longestWait());
        listener.answers();
        if (!page.rows().isEmpty()) {
            listener.changed(page.rows());
        }
        known = OptionalLong.of(Math.max(after, page.version()));
        return !page.rows().isEmpty();
    }

    private boolean pauseAfterFailure() {
        long half = pause.toMillis() / 2;
        boolean goOn = Tasks.sleep(Duration.ofMillis(half + random.nextLong(half + 1)));
        pause = Durations.min(pause.multipliedBy(2), LONGEST_PAUSE);
        return goOn;
    }
}
