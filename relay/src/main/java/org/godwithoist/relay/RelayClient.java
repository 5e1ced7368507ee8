package org.godwithoist.relay;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.store.feed.FeedPage;

/** Asks leaders for changes. Used by one task. */
public interface RelayClient extends Closeable {
    /**
     * What a leader is asked.
     *
     * @param table the table
     * @param after version up to which it is known
     * @param longestWait longest time to wait for a change
     */
    record Question(TableName table, long after, Duration longestWait) {}

    /**
     * Waits for changes.
     *
     * @param leader the daemon that is asked
     * @param margin time beyond the wait until the answer must be there
     * @return changes; none if nothing has changed
     * @throws NoFreshNewsException if the leader answers that it cannot tell
     * @throws IOException if no answer came
     */
    FeedPage changes(Endpoint leader, Question question, Duration margin) throws IOException;
}
