package org.godwithoist.streams;

import java.time.Duration;
import org.godwithoist.catalog.ServiceId;

/**
 * That a service has or had targets of a version, as one daemon tells another.
 *
 * @param age time since the version was last known to have targets
 */
public record VersionSighting(ServiceId service, StreamOrigin version, Duration age) {
    /**
     * Validates the age.
     *
     * @throws IllegalArgumentException if it is negative
     */
    public VersionSighting {
        if (age.isNegative()) {
            throw new IllegalArgumentException("negative age: " + age);
        }
    }
}
