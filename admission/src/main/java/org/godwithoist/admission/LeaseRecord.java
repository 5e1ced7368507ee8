package org.godwithoist.admission;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.HostId;

/**
 * Lease of a shard as stored in the table service.
 *
 * @param owner owner; empty after a planned release
 * @param ownerIncarnation run of the owner that wrote the record; a restarted owner has lost its
 *     ledger and takes the shard over like any other daemon
 * @param epoch increases by one with each change of the owner
 * @param writeNumber number of the write within the run of the owner; identifies a write whose
 *     response was lost
 * @param candidates up to three daemons that may take the shard over, the owner among them
 */
public record LeaseRecord(
        Optional<HostId> owner,
        long ownerIncarnation,
        long epoch,
        long writeNumber,
        List<HostId> candidates) {
    /** Makes the list immutable. */
    public LeaseRecord {
        candidates = List.copyOf(candidates);
    }

    /** Returns whether the given run of a daemon wrote this record as owner. */
    public boolean isOwnedBy(HostId host, long incarnation) {
        return owner.filter(host::equals).isPresent() && ownerIncarnation == incarnation;
    }

    /**
     * Record with the version of its row.
     *
     * @param record the record
     * @param version version of the row in the store
     */
    public record Versioned(LeaseRecord record, long version) {}
}
