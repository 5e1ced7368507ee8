package org.godwithoist.admission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Storage of shard leases. Futures fail as those of {@code TableStore}. */
public interface LeaseTable {
    /** Reads the lease of a shard; empty if it has no row. */
    CompletableFuture<Optional<LeaseRecord.Versioned>> read(ShardId shard);

    /**
     * Writes a lease if its row has the expected version. Completes with the new version of the
     * row.
     */
    CompletableFuture<Long> write(ShardId shard, LeaseWrite write);
}
