package org.godwithoist.accounting;

import java.util.List;
import java.util.Optional;

/**
 * Settlement rows in the platform's store. Methods block and throw {@link
 * org.godwithoist.store.StoreUnavailableException} if the store does not respond.
 */
public interface UsageStore {
    /** Reads the current row of a chain; {@link ChainRow#none} if it has none. */
    StoredRow load(ChainId chain);

    /**
     * Replaces the current row of a chain in one transaction. If the response is lost, the chain is
     * read again to determine the outcome.
     *
     * @return the new row, or empty if another daemon replaced the row first
     */
    Optional<StoredRow> advance(StoredRow last, ChainRow next);

    /** Reads the current rows of all chains, in no particular order. */
    List<ChainRow> all();
}
