package org.godwithoist.store;

import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.ModelId;

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /**
     * Requests permission to load the weights of a model now.
     *
     * @return true if granted; false if the rate limit is reached and the caller should retry later
     */
    CompletableFuture<Boolean> acquire(ModelId model);
}
