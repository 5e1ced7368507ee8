package org.godwithoist.catalog;

import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.id.FailureDomainId;

/** The current catalog and the failure domains out of service. Thread-safe; reads do not lock. */
public final class CatalogState {
    private volatile Optional<Catalog> current = Optional.empty();
    private volatile Set<FailureDomainId> outOfService = Set.of();

    /** Returns the current catalog; empty until the first one is received. */
    public Optional<Catalog> current() {
        return current;
    }

    /**
     * Replaces the current catalog if the given one is newer. A delayed response of the store must
     * not revert the daemon to an older version.
     *
     * @return whether the catalog was replaced
     */
    public synchronized boolean updateIfNewer(Catalog next) {
        if (current.isPresent() && current.get().version() >= next.version()) {
            return false;
        }
        current = Optional.of(next);
        return true;
    }

    /** Returns the failure domains whose targets receive no new requests. */
    public Set<FailureDomainId> outOfService() {
        return outOfService;
    }

    /** Replaces the set of failure domains whose targets receive no new requests. */
    public void outOfService(Set<FailureDomainId> domains) {
        outOfService = Set.copyOf(domains);
    }
}
