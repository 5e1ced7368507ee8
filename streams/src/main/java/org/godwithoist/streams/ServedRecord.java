package org.godwithoist.streams;

import java.util.Map;
import java.util.OptionalLong;
import org.godwithoist.store.feed.StoreEra;

/**
 * The versions of a service that have had targets, as stored for daemons that start later.
 *
 * @param era era of the store in which the record was written; another era may lack what was
 *     recorded since
 * @param completeSinceMs time on the store's clock from which on no version is missing, in
 *     milliseconds
 * @param untilMs time on the store's clock at which each version lost its last target, in
 *     milliseconds; empty while it has targets
 */
public record ServedRecord(
        StoreEra era, long completeSinceMs, Map<StreamOrigin, OptionalLong> untilMs) {
    /** Copies the versions. */
    public ServedRecord {
        untilMs = Map.copyOf(untilMs);
    }
}
