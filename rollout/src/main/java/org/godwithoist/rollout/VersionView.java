package org.godwithoist.rollout;

import java.util.Optional;
import java.util.Set;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.VersionFilter;

/**
 * Permits the version in use, and targets that name none. If no target of these is left, it permits
 * all versions but excluded ones, rather than refusing all requests.
 *
 * @param inUse version in use; empty if it is not known
 * @param excluded versions that an order has tried and that were bad, and the one on trial
 * @param baselineAvailable whether targets of the version in use, or without a version, are left
 */
record VersionView(
        Optional<SoftwareVersion> inUse, Set<SoftwareVersion> excluded, boolean baselineAvailable)
        implements VersionFilter {
    @Override
    public boolean permits(Optional<SoftwareVersion> version) {
        if (version.isEmpty() || version.equals(inUse)) {
            return true;
        }
        return !baselineAvailable && !excluded.contains(version.get());
    }
}
