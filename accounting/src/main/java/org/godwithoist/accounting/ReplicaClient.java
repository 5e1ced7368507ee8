package org.godwithoist.accounting;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;

/** Client for the accounting RPCs of other daemons. */
public interface ReplicaClient {
    /** Registers unsettled attempts at a replica; the future fails if it does not respond. */
    CompletableFuture<Registration.Receipt> register(
            HostId replica, Registration registration, Duration timeout);

    /** Requests the unsettled usage that a daemon knows; the future fails without a response. */
    CompletableFuture<KnownUsage> unsettled(HostId daemon, Duration timeout);

    /**
     * Unsettled usage that a daemon knows.
     *
     * @param own usage of its own requests by workspace
     * @param held usage of the chains for which it is the replica or that it took over
     */
    record KnownUsage(
            Map<WorkspaceId, UnsettledUsage> own,
            Map<ChainId, Map<WorkspaceId, UnsettledUsage>> held) {}
}
