package org.godwithoist.accounting;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;

/** Messages of this slice to other daemons. */
public interface ReplicaClient {
    /** Registers unsettled attempts at a replica. */
    CompletableFuture<Registration.Receipt> register(
            HostId replica, Registration registration, Duration timeout);

    /** Asks a daemon for the unsettled use that it knows. */
    CompletableFuture<KnownUse> unsettled(HostId daemon, Duration timeout);

    /**
     * Unsettled use that a daemon knows.
     *
     * @param own use of its own requests
     * @param held use of the daemons whose replica it is and of chains that it took over
     */
    record KnownUse(
            Map<WorkspaceId, UnsettledUse> own,
            Map<ChainId, Map<WorkspaceId, UnsettledUse>> held) {}
}
