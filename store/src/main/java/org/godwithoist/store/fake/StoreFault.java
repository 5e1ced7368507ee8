package org.godwithoist.store.fake;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.StoreUnavailableException;

/** Injected fault of a fake store. */
public enum StoreFault {
    /** The operation succeeds. */
    NONE {
        @Override
        <T> CompletableFuture<T> apply(Supplier<T> operation) {
            try {
                return CompletableFuture.completedFuture(operation.get());
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }
    },
    /** The store is unavailable; the operation has no effect. */
    DOWN {
        @Override
        <T> CompletableFuture<T> apply(Supplier<T> operation) {
            return CompletableFuture.failedFuture(
                    new StoreUnavailableException("the fake store is down"));
        }
    },
    /** The operation takes effect, but its response is lost. */
    ANSWER_LOST {
        @Override
        <T> CompletableFuture<T> apply(Supplier<T> operation) {
            try {
                T lost = operation.get();
                return CompletableFuture.failedFuture(
                        new OutcomeUnknownException("the fake store lost its response: " + lost));
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(
                        new OutcomeUnknownException("the fake store lost its response", e));
            }
        }
    },
    /**
     * The request is lost and has no effect; clients cannot distinguish this from a lost response.
     */
    REQUEST_LOST {
        @Override
        <T> CompletableFuture<T> apply(Supplier<T> operation) {
            return CompletableFuture.failedFuture(
                    new OutcomeUnknownException("the fake store lost the request"));
        }
    };

    /** Runs an operation with this fault injected. */
    abstract <T> CompletableFuture<T> apply(Supplier<T> operation);
}
