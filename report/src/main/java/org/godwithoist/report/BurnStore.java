package org.godwithoist.report;

import org.godwithoist.core.id.HostId;

/** Counts in the platform's store. Calls block and fail if the store does not answer. */
public interface BurnStore {
    /** Writes the counts of one daemon and interval; a repeat changes nothing. */
    void write(HostId daemon, long incarnation, IntervalCounts counts);

    /** Reads the counts of the whole fleet for an interval. */
    IntervalCounts read(long number);

    /**
     * Replaces the rows of all daemons for an interval by one row.
     *
     * @return false if another daemon changed the rows meanwhile
     */
    boolean merge(long number);

    /** Deletes the rows of an interval. */
    void delete(long number);
}
