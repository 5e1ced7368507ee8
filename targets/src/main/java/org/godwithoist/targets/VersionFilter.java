package org.godwithoist.targets;

import java.util.Optional;

/** Decides to which versions of a service a request may be sent. */
@FunctionalInterface
public interface VersionFilter {
    /** Permits all versions. */
    VersionFilter ALL = version -> true;

    /**
     * Returns whether the request may be sent to targets of a version.
     *
     * @param version version of a target; empty if its entry names none
     */
    boolean permits(Optional<SoftwareVersion> version);
}
