package org.godwithoist.store.fake;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.store.ObjectStore;

/** In-memory object store. Thread-safe. */
public final class FakeObjectStore implements ObjectStore {
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private volatile StoreFault fault = StoreFault.NONE;

    /** Sets the fault of all later operations. */
    public void setFault(StoreFault fault) {
        this.fault = fault;
    }

    @Override
    public CompletableFuture<Void> put(String key, byte[] content) {
        return fault.apply(
                () -> {
                    objects.put(key, content.clone());
                    return null;
                });
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String key) {
        return fault.apply(() -> Optional.ofNullable(objects.get(key)).map(byte[]::clone));
    }
}
