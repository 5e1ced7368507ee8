package org.godwithoist.bundle;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Content of one bundle revision. Immutable; lookups by id and by key hash take constant time. This
 * is a class rather than a record because the key hash index is not part of its value.
 */
public final class Bundle {
    private final Map<WorkspaceId, Workspace> workspaces;
    private final Map<ModelId, Model> models;
    private final Map<PoolId, Pool> pools;
    private final List<FailureDomainId> failureDomains;
    private final Map<Priority, ServiceLevel> serviceLevels;
    private final Map<String, Workspace> byKeyHash = new HashMap<>();

    /** Makes unmodifiable copies of the collections. */
    public Bundle(
            Map<WorkspaceId, Workspace> workspaces,
            Map<ModelId, Model> models,
            Map<PoolId, Pool> pools,
            List<FailureDomainId> failureDomains,
            Map<Priority, ServiceLevel> serviceLevels) {
        this.workspaces = Map.copyOf(workspaces);
        this.models = Map.copyOf(models);
        this.pools = Map.copyOf(pools);
        this.failureDomains = List.copyOf(failureDomains);
        this.serviceLevels = Map.copyOf(serviceLevels);
        for (Workspace w : this.workspaces.values()) {
            w.keyHashes().forEach(k -> byKeyHash.put(k, w));
        }
    }

    /**
     * Creates a bundle from lists.
     *
     * @throws IllegalStateException if a list contains an id twice
     */
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

    /** Returns an unmodifiable map of the workspaces by id. */
    public Map<WorkspaceId, Workspace> workspaces() {
        return workspaces;
    }

    /** Returns an unmodifiable map of the models by the name that callers use. */
    public Map<ModelId, Model> models() {
        return models;
    }

    /** Returns an unmodifiable map of the pools by id. */
    public Map<PoolId, Pool> pools() {
        return pools;
    }

    /** Returns the failure domains that may serve, in the order of the bundle file. */
    public List<FailureDomainId> failureDomains() {
        return failureDomains;
    }

    /** Returns the service level of each priority. */
    public Map<Priority, ServiceLevel> serviceLevels() {
        return serviceLevels;
    }

    /**
     * Returns the workspace that has the given key hash, or empty if there is none.
     *
     * @param keyHash SHA-256 hash of the key, lower-case hexadecimal
     */
    public Optional<Workspace> workspaceByKeyHash(String keyHash) {
        return Optional.ofNullable(byKeyHash.get(keyHash));
    }

    /** Returns the pool that serves a model, or empty if the model is unknown. */
    public Optional<Pool> poolOf(ModelId model) {
        return Optional.ofNullable(models.get(model)).map(m -> pools.get(m.pool()));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bundle b
                && workspaces.equals(b.workspaces)
                && models.equals(b.models)
                && pools.equals(b.pools)
                && failureDomains.equals(b.failureDomains)
                && serviceLevels.equals(b.serviceLevels);
    }

    @Override
    public int hashCode() {
        return Objects.hash(workspaces, models, pools, failureDomains, serviceLevels);
    }

    @Override
    public String toString() {
        return "Bundle["
                + workspaces.size()
                + " workspaces, "
                + models.size()
                + " models, "
                + pools.size()
                + " pools]";
    }

    private static <K, V> Map<K, V> byId(List<V> list, Function<V, K> id) {
        return list.stream().collect(Collectors.toMap(id, Function.identity()));
    }
}
