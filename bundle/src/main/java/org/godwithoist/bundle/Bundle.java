package org.godwithoist.bundle;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * The content of one bundle revision. Immutable; look-ups by id and key hash take constant time.
 *
 * @param workspaces workspaces by id
 * @param models models by name
 * @param pools pools by id
 * @param failureDomains failure domains that may serve
 * @param serviceLevels deadline and objective of each priority
 */
public record Bundle(
        Map<WorkspaceId, Workspace> workspaces,
        Map<ModelId, Model> models,
        Map<PoolId, Pool> pools,
        List<FailureDomainId> failureDomains,
        Map<Priority, ServiceLevel> serviceLevels) {
    /** Copies the collections. */
    public Bundle {
        workspaces = Map.copyOf(workspaces);
        models = Map.copyOf(models);
        pools = Map.copyOf(pools);
        failureDomains = List.copyOf(failureDomains);
        serviceLevels = Map.copyOf(serviceLevels);
    }

    /** Makes a bundle from lists whose ids are unique. */
    public static Bundle of(
            List<Workspace> workspaces,
            List<Model> models,
            List<Pool> pools,
            List<FailureDomainId> failureDomains,
            List<ServiceLevel> serviceLevels) {
        return new Bundle(
                byId(workspaces, Workspace::id),
                byId(models, Model::id),
                byId(pools, Pool::id),
                failureDomains,
                byId(serviceLevels, ServiceLevel::priority));
    }

    /** Returns the workspace with the given key hash, or empty if there is none. */
    public Optional<Workspace> workspaceByKeyHash(String keyHash) {
        return workspaces.values().stream()
                .filter(w -> w.keyHashes().contains(keyHash))
                .findFirst();
    }

    /** Returns the pool that serves a model, or empty if the model is unknown. */
    public Optional<Pool> poolOf(ModelId model) {
        return Optional.ofNullable(models.get(model)).map(m -> pools.get(m.pool()));
    }

    private static <K, V> Map<K, V> byId(List<V> list, Function<V, K> id) {
        return list.stream().collect(Collectors.toMap(id, Function.identity()));
    }
}
