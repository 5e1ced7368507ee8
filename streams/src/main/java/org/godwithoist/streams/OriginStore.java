package org.godwithoist.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;

/** The rows of streams and of the versions of services in the store. Used by one task at a time. */
public interface OriginStore {
    /** Maximum number of changes in one call of {@link #save}. */
    int MAX_CHANGES = 100;

    /**
     * A stream whose row is written.
     *
     * @param expiresIn time after which nobody takes it up any more
     */
    record BegunStream(StreamId stream, StreamOrigin origin, Duration expiresIn) {}

    /**
     * Writes the rows of streams that began, and removes those of streams that nobody takes up any
     * more, in one transaction.
     *
     * @throws IOException if the store did not confirm it; it may still have taken effect
     */
    void save(List<BegunStream> begun, List<StreamId> expired) throws IOException;

    /**
     * Returns the version that began a stream; empty if there is no row.
     *
     * @throws IOException if no response was received
     */
    Optional<StreamOrigin> find(StreamId stream) throws IOException;

    /**
     * Examines some rows and removes those of streams that nobody takes up any more, which daemons
     * have left that ended before they could.
     *
     * @param fromKey key from which on rows are examined
     * @return key from which on to go on; empty after the last row
     */
    String removeExpired(String fromKey) throws IOException;

    /** Reads the row with the versions of a service. */
    ServedRow readServed(ServiceId service) throws IOException;

    /**
     * Writes the row with the versions of a service if it still has a version.
     *
     * @param expectedVersion version of the row; 0 if it does not exist
     * @return whether it was written
     */
    boolean writeServed(ServiceId service, ServedRecord record, long expectedVersion)
            throws IOException;
}
