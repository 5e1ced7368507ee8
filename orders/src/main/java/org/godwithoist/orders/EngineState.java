package org.godwithoist.orders;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.TargetId;

/**
 * Models and adapters loaded by an engine, in the local view of this daemon.
 *
 * @param target the engine
 * @param incarnation identifies the run of the engine; a new run has nothing loaded
 * @param models versions of the loaded models
 * @param adapters names of the loaded adapters
 */
public record EngineState(
        TargetId target, String incarnation, Map<ModelId, String> models, Set<String> adapters) {
    /** Makes unmodifiable copies of the collections. */
    public EngineState {
        models = Map.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns the state of an engine that has nothing loaded. */
    public static EngineState empty(TargetId target, String incarnation) {
        return new EngineState(target, incarnation, Map.of(), Set.of());
    }

    /** Returns the state after the engine has executed an order; a role is not tracked. */
    public EngineState withExecuted(EngineOrder order) {
        var newModels = new HashMap<>(models);
        var newAdapters = new HashSet<>(adapters);
        switch (order.kind()) {
            case LOAD_MODEL -> newModels.put(order.model(), order.version());
            case LOAD_ADAPTER -> newAdapters.add(order.name());
            case SET_ROLE -> {}
        }
        return new EngineState(target, incarnation, newModels, newAdapters);
    }
}
