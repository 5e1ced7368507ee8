package org.godwithoist.report;

import org.godwithoist.core.id.HostId;

/**
 * Stores request counts in the table service. Methods block, and fail if the store does not
 * respond.
 */
public interface BurnStore {
    /** Writes the counts of one daemon and interval, replacing an earlier write; may be retried. */
    void write(HostId daemon, long incarnation, IntervalCounts counts);

    /** Reads the summed counts of all daemons for an interval; no series if there are no rows. */
    IntervalCounts read(long number);

    /**
     * Replaces the rows of all daemons for an interval by one row; does nothing without rows.
     *
     * @return false if another daemon changed the rows concurrently; nothing is changed then
     */
    boolean merge(long number);

    /** Deletes all rows of an interval. */
    void delete(long number);
}
