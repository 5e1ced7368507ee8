package org.godwithoist.edge;

import org.godwithoist.core.log.EventLog;
import org.godwithoist.platform.FeedStatus;

/**
 * Logs the status of one table's feed and notifies callbacks. Outages are logged once each. Used by
 * the task of the feed; {@link #known()} may be called by any task.
 */
final class FeedLog implements FeedStatus {
    private final EventLog log;
    private final String table;
    private final Runnable onRead;
    private final Runnable onReturn;
    private volatile boolean known;
    private volatile boolean away;

    /**
     * Creates a feed log.
     *
     * @param onRead called after the complete table was read
     * @param onReturn called when the store responds again after an outage
     */
    FeedLog(EventLog log, String table, Runnable onRead, Runnable onReturn) {
        this.log = log;
        this.table = table;
        this.onRead = onRead;
        this.onReturn = onReturn;
    }

    /** Returns whether the complete table was read at least once. */
    boolean known() {
        return known;
    }

    @Override
    public void tableRead() {
        known = true;
        onRead.run();
        log.event("table_read").with("table", table).write();
    }

    @Override
    public void storeAvailable() {
        if (away) {
            away = false;
            log.event("store_back").with("table", table).write();
            onReturn.run();
        }
    }

    @Override
    public void storeUnavailable(String reason) {
        if (!away) {
            away = true;
            log.event("store_away").with("table", table).with("reason", reason).write();
        }
    }

    @Override
    public void malformedRow(String key, String reason) {
        log.event("row_left_out")
                .with("table", table)
                .with("key", key)
                .with("reason", reason)
                .write();
    }
}
