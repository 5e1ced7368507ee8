package org.godwithoist.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. Futures fail with {@link StoreUnavailableException}. */
public interface ObjectStore {
    /** Stores an object; storing the same content again has no effect. */
    CompletableFuture<Void> put(String key, byte[] content);

    /** Reads an object; empty if it does not exist. */
    CompletableFuture<Optional<byte[]>> get(String key);
}
