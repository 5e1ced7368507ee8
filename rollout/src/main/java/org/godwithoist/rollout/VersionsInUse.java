package org.godwithoist.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.TargetEntry;
import org.godwithoist.targets.VersionFilter;

/**
 * Which version of a service is in use: that of the last completed order, else that of most
 * targets. The version of most targets is determined once and kept while it has a target, so that
 * targets that start alongside do not change it. Not thread-safe.
 */
final class VersionsInUse {
    private final Set<SoftwareVersion> reverted = new HashSet<>();
    private Map<SoftwareVersion, Group> groups = Map.of();
    private boolean unversionedTargets;
    private Optional<SoftwareVersion> inUse = Optional.empty();
    private boolean completed;

    /** Replaces the targets of the service; those that drain do not count. */
    void setTargets(Collection<TargetEntry> entries, Optional<SoftwareVersion> ordered) {
        Map<SoftwareVersion, Group> next = new HashMap<>();
        unversionedTargets = false;
        for (TargetEntry entry : entries) {
            if (entry.draining()) {
                continue;
            }
            Group one = new Group(1, entry.startedAt());
            entry.version().ifPresent(v -> next.merge(v, one, Group::plus));
            unversionedTargets |= entry.version().isEmpty();
        }
        groups = next;
        determine(ordered);
    }

    /** Takes account of an order for a version, or of none. */
    void setOrdered(Optional<SoftwareVersion> ordered) {
        ordered.ifPresent(reverted::remove);
        if (!completed && inUse.isPresent() && inUse.equals(ordered) && hasOthers(ordered.get())) {
            // Its targets were the majority before the order that names it.
            inUse = Optional.empty();
        }
        determine(ordered);
    }

    /** Returns whether targets of another version could be the ones in use. */
    private boolean hasOthers(SoftwareVersion version) {
        return unversionedTargets
                || groups.keySet().stream()
                        .anyMatch(v -> !v.equals(version) && !reverted.contains(v));
    }

    void complete(SoftwareVersion version) {
        reverted.remove(version);
        inUse = Optional.of(version);
        completed = true;
    }

    /**
     * Takes account of a version that was reverted.
     *
     * @param ordered version of an order in progress
     */
    void revert(SoftwareVersion version, Optional<SoftwareVersion> ordered) {
        if (completed && isInUse(version)) {
            return;
        }
        reverted.add(version);
        if (isInUse(version)) {
            // It was taken for the one in use because it has most targets.
            inUse = Optional.empty();
            determine(ordered);
        }
    }

    boolean isInUse(SoftwareVersion version) {
        return inUse.filter(version::equals).isPresent();
    }

    /** Returns whether no other version is or was in use as far as this daemon knows. */
    boolean isOnly(SoftwareVersion version) {
        return inUse.isEmpty() && !unversionedTargets && groups.keySet().equals(Set.of(version));
    }

    boolean hasTargets(SoftwareVersion version) {
        return groups.containsKey(version);
    }

    /** Returns whether there are targets of other versions, or of none, that a filter permits. */
    boolean hasTargetsBeside(SoftwareVersion version, VersionFilter filter) {
        return unversionedTargets
                || groups.keySet().stream()
                        .anyMatch(v -> !v.equals(version) && filter.permits(Optional.of(v)));
    }

    /** Returns whether all targets may be used. */
    boolean isUniform() {
        return groups.isEmpty()
                || (reverted.isEmpty()
                        && groups.size() == 1
                        && groups.keySet().stream().allMatch(this::isInUse));
    }

    /**
     * Returns what the filter of the baseline needs to know.
     *
     * @param canary version on trial, or found to be bad by this daemon and not reverted yet
     */
    VersionView view(Optional<SoftwareVersion> canary) {
        Set<SoftwareVersion> excluded = new HashSet<>(reverted);
        canary.ifPresent(excluded::add);
        boolean baselineAvailable =
                unversionedTargets || inUse.filter(this::hasTargets).isPresent();
        return new VersionView(inUse, Set.copyOf(excluded), baselineAvailable);
    }

    private void determine(Optional<SoftwareVersion> ordered) {
        if (completed || inUse.filter(this::hasTargets).isPresent()) {
            return;
        }
        Comparator<Map.Entry<SoftwareVersion, Group>> bySize =
                Comparator.comparingInt(e -> e.getValue().size);
        // Of equally many, the targets that started first were in use first.
        Comparator<Map.Entry<SoftwareVersion, Group>> order =
                bySize.thenComparingLong(e -> -e.getValue().firstStart)
                        .thenComparing(e -> e.getKey().value());
        groups.entrySet().stream()
                .filter(e -> !reverted.contains(e.getKey()))
                .filter(e -> !ordered.equals(Optional.of(e.getKey())))
                .max(order)
                .ifPresent(e -> inUse = Optional.of(e.getKey()));
    }

    private record Group(int size, long firstStart) {
        Group plus(Group other) {
            return new Group(size + other.size, Math.min(firstStart, other.firstStart));
        }
    }
}
