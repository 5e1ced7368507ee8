package org.godwithoist.bundle.store;

import java.util.Map;
import java.util.Set;
import org.godwithoist.bundle.ContentHash;

/** A place from which parts can be fetched: a peer or the object store. */
@FunctionalInterface
public interface ObjectSource {
    /**
     * Fetches what the source has; may return less than asked for or fail. The receiver checks each
     * content against its hash, so a source need not be trusted.
     */
    Map<ContentHash, byte[]> fetch(Set<ContentHash> wanted);
}
