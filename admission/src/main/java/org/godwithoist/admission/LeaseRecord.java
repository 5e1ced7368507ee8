package org.godwithoist.admission;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.HostId;

/**
 * The lease of a shard as it is kept in the table service.
 *
 * @param owner owner, or empty after a planned release
 * @param ownerIncarnation run of the owner that wrote the record; a restarted owner has lost its
 *     ledger and must take the shard over like any other daemon
 * @param epoch grows by one with each change of the owner
 * @param renewal number of the write within the owner's run; identifies a write whose answer is
 *     lost
 * @param candidates up to three daemons that may take over, the owner among them
 */
public record LeaseRecord(
        Optional<HostId> owner,
        long ownerIncarnation,
        long epoch,
        long renewal,
        List<HostId> candidates) {
    /** Copies the list. */
    public LeaseRecord {
        candidates = List.copyOf(candidates);
    }

    /** Returns whether a run of a daemon wrote this record as owner. */
    public boolean isOf(HostId host, long incarnation) {
        return owner.filter(host::equals).isPresent() && ownerIncarnation == incarnation;
    }

    /**
     * A record with the version of its row.
     *
     * @param record the record
     * @param version version of the row
     */
    public record Versioned(LeaseRecord record, long version) {}
}
