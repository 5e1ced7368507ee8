package org.godwithoist.edge;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.OptionalLong;
import java.util.SequencedMap;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.platform.FeedStatus;

/**
 * Logs the status of one table's feed and notifies callbacks. Outages are logged once each. Used by
 * the task of the feed; {@link #isLoaded()} and {@link #hasRespondedWithin} may be called by any
 * task.
 */
final class FeedLog implements FeedStatus {
    /** Maximum number of malformed rows whose last reason is remembered. */
    private static final int MAX_REPORTED_ROWS = 256;

    private final EventLog log;
    private final String table;
    private final Runnable onTableRead;
    private final Runnable onRecovered;
    private final Ticker ticker;
    private volatile boolean loaded;
    private final SequencedMap<String, String> reportedRows = new LinkedHashMap<>();
    private volatile boolean unavailable;

    /** Instant of the last response, in nanoseconds; empty before the first. */
    private volatile OptionalLong respondedAt = OptionalLong.empty();

    /**
     * Creates a feed log.
     *
     * @param onTableRead called after the complete table was read
     * @param onRecovered called when the store responds again after an outage
     */
    FeedLog(EventLog log, String table, Runnable onTableRead, Runnable onRecovered, Ticker ticker) {
        this.log = log;
        this.table = table;
        this.onTableRead = onTableRead;
        this.onRecovered = onRecovered;
        this.ticker = ticker;
    }

    /** Returns whether the complete table was read at least once. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns whether the store, or the leader, has responded within a time. */
    boolean hasRespondedWithin(Duration time) {
        OptionalLong last = respondedAt;
        return last.isPresent() && ticker.nanos() - last.getAsLong() <= time.toNanos();
    }

    @Override
    public void tableRead() {
        loaded = true;
        onTableRead.run();
        log.event("table_read").with("table", table).write();
    }

    @Override
    public void storeAvailable() {
        respondedAt = OptionalLong.of(ticker.nanos());
        if (unavailable) {
            unavailable = false;
            log.event("store_back").with("table", table).write();
            onRecovered.run();
        }
    }

    @Override
    public void storeUnavailable(String reason) {
        if (!unavailable) {
            unavailable = true;
            log.event("store_away").with("table", table).with("reason", reason).write();
        }
    }

    /**
     * Logs a malformed row once for each reason, because its writer may write it again several
     * times a second.
     */
    @Override
    public void malformedRow(String key, String reason) {
        if (reason.equals(reportedRows.put(key, reason))) {
            return;
        }
        if (reportedRows.size() > MAX_REPORTED_ROWS) {
            reportedRows.pollFirstEntry();
        }
        log.event("row_left_out")
                .with("table", table)
                .with("key", key)
                .with("reason", reason)
                .write();
    }
}
