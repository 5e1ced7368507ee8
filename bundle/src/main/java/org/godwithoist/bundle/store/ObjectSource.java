package org.godwithoist.bundle.store;

import java.util.Map;
import java.util.Set;
import org.godwithoist.bundle.ContentHash;

/** Source of parts and manifests: a peer or the object store. */
@FunctionalInterface
public interface ObjectSource {
    /**
     * Fetches the objects that the source has. May return fewer objects than requested or throw a
     * {@link RuntimeException}. Callers verify each hash, so sources need not be trusted.
     */
    Map<ContentHash, byte[]> fetch(Set<ContentHash> wanted);
}
