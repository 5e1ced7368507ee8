package org.godwithoist.store.feed;

import java.io.IOException;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;

/** Follows one table in a task of its own. */
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
     * How often a follower calls.
     *
     * @param longestWait longest wait for changes; it bounds how long a call that was lost stays
     *     unnoticed
     * @param pace time between an answer with changes and the next call, so that changes which
     *     follow each other closely cost one call; it is as late as news may be
     */
    public record Timing(Duration longestWait, Supplier<Duration> pace) {}

    /**
     * Makes a follower.
     *
     * @param random spreads the calls of daemons that lost the store together
     */
    public TableFollower(
            TableFeed feed, FeedListener listener, Timing timing, RandomGenerator random) {
        this.feed = feed;
        this.listener = listener;
        this.timing = timing;
        this.random = random;
    }

    /** Makes the call in progress again, because the store may have lost it. */
    public void refresh() {
        feed.interrupt();
    }

    /** Starts the task. */
    public Thread start(String name) {
        return Tasks.start(name, this::run);
    }

    private void run() {
        boolean goOn = true;
        while (goOn) {
            goOn = step();
        }
    }

    /** Makes one call and pauses; returns false if the task was interrupted. */
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

    /** Returns false: changes that came meanwhile are asked for at once. */
    private boolean readAll() throws IOException {
        FeedPage page = feed.readAll();
        listener.answers();
        listener.replaced(page.rows());
        known = OptionalLong.of(page.version());
        return false;
    }

    /** Returns whether there were changes. */
    private boolean readChanges(long after) throws IOException, HistoryGoneException {
        // The first call after a failure does not wait for a change, so that the return of the
        // store is noticed when it happens.
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
