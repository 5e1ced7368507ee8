package org.godwithoist.relay;

import java.time.Duration;

/**
 * Times of the relay as parts of the time within which news must be in force. The longest way of
 * news to a member is a leader that just was fresh and falls silent: {@link #fresh()}, {@link
 * #memberWait()} and {@link #answerMargin()}, two thirds of that time, and then a call to the
 * store.
 *
 * @param news time within which a change in the store must be in force
 */
public record RelayTiming(Duration news) {
    /** Below this the parts come close to the delays of a busy host. */
    private static final Duration SHORTEST_NEWS = Duration.ofSeconds(2);

    /** Returns whether daemons follow tables at leaders. */
    public boolean usable() {
        return news.compareTo(SHORTEST_NEWS) >= 0;
    }

    /** Returns the longest wait of a leader for changes at the store. */
    public Duration leaderWait() {
        return news.dividedBy(6);
    }

    /** Returns the time of a leader between an answer with changes and the next call. */
    public Duration leaderPace() {
        return news.dividedBy(10);
    }

    /** Returns the age up to which a leader passes on what it knows. */
    public Duration fresh() {
        return news.multipliedBy(2).dividedBy(5);
    }

    /** Returns the longest wait of a member for changes at its leader. */
    public Duration memberWait() {
        return news.dividedBy(6);
    }

    /** Returns the time beyond its wait after which a member takes its leader for silent. */
    public Duration answerMargin() {
        return news.dividedBy(12);
    }

    /**
     * Returns the time between an answer of the store with changes and the next call of a daemon
     * that does not lead.
     */
    public Duration storePace() {
        return news.dividedBy(3);
    }
}
