package org.godwithoist.relay;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.StoreVersion;

/** Requests changes from the leader of a failure domain. Not thread-safe. */
public interface RelayClient extends Closeable {
    /**
     * A request for changes.
     *
     * @param table the table
     * @param after version up to which the client has the table
     * @param maxWait maximum time to wait for a change
     */
    record Request(TableName table, StoreVersion after, Duration maxWait) {}

    /**
     * Waits for changes.
     *
     * @param leader address of the leader
     * @param margin time in addition to the wait within which the response must arrive
     * @return changes; a page without rows if nothing has changed; a page of another era than the
     *     requested version holds all rows
     * @throws StaleCopyException if the leader has no up-to-date copy of the table
     * @throws IOException if no response was received
     */
    FeedPage changes(Endpoint leader, Request request, Duration margin) throws IOException;
}
