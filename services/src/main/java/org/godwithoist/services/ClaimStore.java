package org.godwithoist.services;

import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Claims in the platform's stores. Methods block the calling task and throw {@link
 * org.godwithoist.store.StoreUnavailableException} or {@link
 * org.godwithoist.store.OutcomeUnknownException} if a store does not respond.
 */
public interface ClaimStore {
    /** Version of a claim that does not exist. */
    long ABSENT_VERSION = 0;

    /**
     * A claim as read from its row.
     *
     * @param claim the claim; a response body in the object store is not read yet
     * @param version version of the row
     */
    record StoredClaim(Claim claim, long version) {}

    /** Reads a claim; empty if there is none. */
    Optional<StoredClaim> read(ClaimKey key);

    /**
     * Replaces a claim of the given version. If the store's response is lost, the claim is read
     * again to find out whether the write took effect.
     *
     * @param next the new claim, or empty to delete it
     * @return the new version, {@link #ABSENT_VERSION} after a deletion; empty if the claim had
     *     another version
     */
    OptionalLong replace(ClaimKey key, long expected, Optional<Claim> next);

    /**
     * Reads the body of a response from the row or the object store; empty if it was not retained.
     */
    Optional<byte[]> body(StoredResponse response);

    /** Deletes the claims of a workspace that were created before an instant; returns how many. */
    int deleteCreatedBefore(WorkspaceId workspace, Instant instant);
}
