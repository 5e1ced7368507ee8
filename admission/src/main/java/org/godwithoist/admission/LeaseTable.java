package org.godwithoist.admission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads and writes shard leases. Futures fail as those of {@code TableStore}. */
public interface LeaseTable {
    /** Reads the lease of a shard. */
    CompletableFuture<Optional<LeaseRecord.Versioned>> read(ShardId shard);

    /** Writes a lease and returns the new version of its row. */
    CompletableFuture<Long> write(ShardId shard, LeaseWrite write);
}
