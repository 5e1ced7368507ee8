package org.godwithoist.store.fake;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostList;

/** In-memory host list for tests. Thread-safe. */
public final class FakeHostList implements HostList {
    private volatile List<HostEntry> hosts = List.of();
    private volatile StoreFault fault = StoreFault.NONE;

    /** Replaces the list that later reads return. */
    public void set(List<HostEntry> entries) {
        hosts = List.copyOf(entries);
    }

    /** Sets the fault of all later reads. */
    public void setFault(StoreFault fault) {
        this.fault = fault;
    }

    @Override
    public CompletableFuture<List<HostEntry>> list() {
        return fault.apply(() -> hosts);
    }
}
