package org.godwithoist.bundle;

import java.util.List;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;

/**
 * A model as callers name it.
 *
 * @param id name used by callers
 * @param pool pool of engines that serve it
 * @param version version of the weights
 * @param adapters adapters that engines load with it
 */
public record Model(ModelId id, PoolId pool, String version, List<String> adapters) {
    /** Copies the list. */
    public Model {
        adapters = List.copyOf(adapters);
    }
}
