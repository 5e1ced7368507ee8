package org.godwithoist.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and draining hosts. It is eventually consistent: it may be stale, and
 * readers may see different lists.
 */
public interface HostList {
    /** Reads the list; the future fails with {@link StoreUnavailableException}. */
    CompletableFuture<List<HostEntry>> list();
}
