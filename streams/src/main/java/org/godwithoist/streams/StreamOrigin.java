package org.godwithoist.streams;

import java.util.Optional;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.VersionFilter;

/**
 * The version that began a stream, and that alone may go on with it.
 *
 * @param version version of the target; empty if its entry named none, which counts as a version of
 *     its own
 */
public record StreamOrigin(Optional<SoftwareVersion> version) implements VersionFilter {
    @Override
    public boolean permits(Optional<SoftwareVersion> other) {
        return version.equals(other);
    }
}
