package org.godwithoist.edge;

import org.godwithoist.core.log.EventLog;
import org.godwithoist.platform.FeedStatus;

/** Logs the loss and return of one table, and tells others of them. Thread-safe. */
final class FeedLog implements FeedStatus {
    private final EventLog log;
    private final String table;
    private final Runnable onRead;
    private final Runnable onReturn;
    private volatile boolean known;
    private volatile boolean away;

    /**
     * Makes a log.
     *
     * @param onRead run when the whole table was read
     * @param onReturn run when the table answers again
     */
    FeedLog(EventLog log, String table, Runnable onRead, Runnable onReturn) {
        this.log = log;
        this.table = table;
        this.onRead = onRead;
        this.onReturn = onReturn;
    }

    /** Returns whether the whole table was read at least once. */
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
