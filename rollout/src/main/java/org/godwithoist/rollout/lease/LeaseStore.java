package org.godwithoist.rollout.lease;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.rollout.RolloutOrder;
import org.godwithoist.rollout.VersionHistory;

/** The rows of leases and of the states of orders. Used by one task at a time. */
public interface LeaseStore extends Closeable {
    /** Thrown if the store has done nothing, because it is unavailable or has too many calls. */
    final class NotDoneException extends IOException {
        private static final long serialVersionUID = 1;

        /** Creates an exception. */
        public NotDoneException(String message) {
            super(message);
        }
    }

    /**
     * Result of a write.
     *
     * @param applied whether the row had the expected version and was written
     * @param row row after the call
     */
    record Written(boolean applied, LeaseRow row) {}

    /**
     * Reads the lease of a service.
     *
     * @throws IOException if no response was received
     */
    LeaseRow read(ServiceId service) throws IOException;

    /**
     * Writes the lease of a service, and the state of its order if one is given, in one transaction
     * and only if the lease row has the expected version.
     *
     * @param order order that the record is about
     * @param writesState whether the state of the order is written too
     * @throws NotDoneException if nothing was written
     * @throws IOException if it is unknown whether anything was written, now or later
     */
    Written write(RolloutOrder order, LeaseRecord record, long expectedVersion, boolean writesState)
            throws IOException;

    /**
     * Reads the outcomes of the orders of all services.
     *
     * @throws IOException if no complete response was received
     */
    Map<ServiceId, VersionHistory> readHistories() throws IOException;

    /** Closes the connection to the store; a later call opens it again. */
    @Override
    void close();
}
