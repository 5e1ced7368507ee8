package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;

/**
 * Description of a target, as the target registered it in the store.
 *
 * @param id the target
 * @param service service that it belongs to
 * @param endpoint address of the target; reused by other targets after this one is removed
 * @param domain failure domain of the target
 * @param slots requests that it processes concurrently, at least 1
 * @param draining whether it is draining and gets no new work
 * @param remainingColdTime time for which it stays cold, counted from the receipt of the entry
 * @param startedAt time of its start; identifies an incarnation of the target
 * @param version version of its software; empty if the entry names none
 */
public record TargetEntry(
        TargetId id,
        ServiceId service,
        Endpoint endpoint,
        FailureDomainId domain,
        int slots,
        boolean draining,
        Duration remainingColdTime,
        long startedAt,
        Optional<SoftwareVersion> version) {
    /** Creates an entry that names no version. */
    public TargetEntry(
            TargetId id,
            ServiceId service,
            Endpoint endpoint,
            FailureDomainId domain,
            int slots,
            boolean draining,
            Duration remainingColdTime,
            long startedAt) {
        this(
                id,
                service,
                endpoint,
                domain,
                slots,
                draining,
                remainingColdTime,
                startedAt,
                Optional.empty());
    }

    /**
     * Validates the entry.
     *
     * @throws IllegalArgumentException if the target has no slots
     */
    public TargetEntry {
        if (slots < 1) {
            throw new IllegalArgumentException(
                    "target " + id + " has " + slots + " slots, but needs at least 1");
        }
    }

    /** Returns the start of the target that the entry describes. */
    public TargetIncarnation incarnation() {
        return new TargetIncarnation(id, startedAt);
    }

    /** Returns whether the other entry describes the same incarnation of the same target. */
    public boolean sameIncarnation(TargetEntry other) {
        return id.equals(other.id)
                && startedAt == other.startedAt
                && endpoint.equals(other.endpoint)
                && service.equals(other.service);
    }
}
