package org.godwithoist.bundle;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.PoolId;

/** Entries of one part of a bundle; each list is empty if the part has no entries of that kind. */
public record PartContent(
        List<Workspace> workspaces,
        List<Model> models,
        List<Pool> pools,
        List<FailureDomainId> failureDomains,
        List<ServiceLevel> serviceLevels) {
    /** Makes unmodifiable copies of the lists. */
    public PartContent {
        workspaces = List.copyOf(workspaces);
        models = List.copyOf(models);
        pools = List.copyOf(pools);
        failureDomains = List.copyOf(failureDomains);
        serviceLevels = List.copyOf(serviceLevels);
    }

    /**
     * Merges the entries of all parts into a bundle.
     *
     * @throws IllegalArgumentException if an entry occurs twice, a model refers to an unknown pool
     *     or a priority has no service level
     */
    static Bundle merge(Collection<PartContent> parts) {
        List<Pool> pools = parts.stream().flatMap(p -> p.pools().stream()).toList();
        List<Model> models = parts.stream().flatMap(p -> p.models().stream()).toList();
        List<ServiceLevel> levels =
                parts.stream().flatMap(p -> p.serviceLevels().stream()).toList();
        Set<PoolId> knownPools = pools.stream().map(Pool::id).collect(Collectors.toSet());
        for (Model m : models) {
            if (!knownPools.contains(m.pool())) {
                throw new IllegalArgumentException(
                        "model " + m.id() + " names the unknown pool " + m.pool());
            }
        }
        Set<Priority> priorities = new HashSet<>();
        levels.forEach(l -> priorities.add(l.priority()));
        if (priorities.size() != Priority.values().length) {
            throw new IllegalArgumentException(
                    "the bundle must have a service level for each priority");
        }
        try {
            return Bundle.of(
                    parts.stream().flatMap(p -> p.workspaces().stream()).toList(),
                    models,
                    pools,
                    parts.stream().flatMap(p -> p.failureDomains().stream()).toList(),
                    levels);
        } catch (IllegalStateException e) {
            throw new IllegalArgumentException("two parts contain an entry with the same id", e);
        }
    }
}
