package org.godwithoist.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service. Every future may fail with {@link
 * StoreUnavailableException}; a commit may also fail with {@link ConditionFailedException} (nothing
 * was written) or {@link OutcomeUnknownException} (all rows may have been written).
 */
public interface TableStore {
    /** Reads one row; empty if it does not exist. */
    CompletableFuture<Optional<Row>> read(Table table, String key);

    /** Reads the rows whose key starts with a prefix, in key order. */
    CompletableFuture<List<Row>> scan(Table table, String prefix);

    /**
     * Writes all rows atomically.
     *
     * @return the new version of each row, in the order of the writes; 0 for a deleted row
     */
    CompletableFuture<List<Long>> commit(List<Write> writes);
}
