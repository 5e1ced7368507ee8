package org.godwithoist.edge;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.godwithoist.store.feed.FeedRow;

/** What the list of daemons contains about this daemon. */
enum OwnRowState {
    /** The row has this daemon's value. */
    CURRENT(false),
    /** There is no row: it was not written yet, or the store has lost it. */
    MISSING(true),
    /** The row has another value, for example an earlier address. */
    DIFFERENT(true);

    private final boolean writeRequired;

    OwnRowState(boolean writeRequired) {
        this.writeRequired = writeRequired;
    }

    /** Returns whether this daemon must write its row. */
    boolean isWriteRequired() {
        return writeRequired;
    }

    /**
     * Returns the state of a daemon's row.
     *
     * @param rows all rows of the list
     * @param key key of the daemon's row
     * @param value value that the row should have
     */
    static OwnRowState of(List<FeedRow> rows, String key, byte[] value) {
        return rows.stream()
                .filter(r -> r.key().equals(key))
                .findFirst()
                .map(r -> Arrays.equals(r.value(), value) ? CURRENT : DIFFERENT)
                .orElse(MISSING);
    }

    /** Returns the name in log lines. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
