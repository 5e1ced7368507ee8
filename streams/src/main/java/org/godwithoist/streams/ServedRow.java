package org.godwithoist.streams;

import java.util.Optional;
import org.godwithoist.store.feed.StoreEra;

/**
 * State of the row with the versions of a service.
 *
 * @param record its content; empty if the row does not exist or cannot be read
 * @param version version of the row; 0 if it does not exist
 * @param nowMs time on the store's clock, in milliseconds
 * @param era era of the response
 */
public record ServedRow(Optional<ServedRecord> record, long version, long nowMs, StoreEra era) {}
