package org.godwithoist.bundle;

import java.util.List;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;

/**
 * Model that callers can request.
 *
 * @param id model name in requests
 * @param pool pool of the engines that serve it
 * @param version version of the weights
 * @param adapters names of the adapters that engines load with it
 */
public record Model(ModelId id, PoolId pool, String version, List<String> adapters) {
    /** Makes an unmodifiable copy of the list. */
    public Model {
        adapters = List.copyOf(adapters);
    }
}
