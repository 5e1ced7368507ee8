package org.godwithoist.overload;

import java.util.Map;
import org.godwithoist.catalog.ServiceId;

/**
 * State of the admission to one service, for logs and metrics.
 *
 * @param service the service
 * @param active whether its targets report the work time, so that requests may be limited
 * @param limited whether requests are limited now
 * @param fleetSlots slots of all targets that get requests
 * @param fleetInProgress requests of all daemons in progress, as far as known
 * @param limit slots that this daemon may use while requests are limited
 * @param inProgress requests of this daemon in progress
 * @param waiting requests that wait at this daemon
 * @param evenShare whether the limit is the even share, because demand of other daemons is missing
 * @param overShare workspaces that use more than their share at this daemon
 * @param refused number of refused requests by reason
 */
public record ServiceStatus(
        ServiceId service,
        boolean active,
        boolean limited,
        int fleetSlots,
        double fleetInProgress,
        double limit,
        int inProgress,
        int waiting,
        boolean evenShare,
        int overShare,
        Map<CapacityRefusal.Reason, Long> refused) {
    /** Copies the map. */
    public ServiceStatus {
        refused = Map.copyOf(refused);
    }
}
