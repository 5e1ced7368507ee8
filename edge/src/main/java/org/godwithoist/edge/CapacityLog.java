package org.godwithoist.edge;

import org.godwithoist.core.log.EventLog;
import org.godwithoist.overload.CapacityObserver;
import org.godwithoist.overload.ServiceStatus;

/** Writes a log event when requests to a service begin or cease to be limited. Thread-safe. */
final class CapacityLog implements CapacityObserver {
    private final EventLog log;

    CapacityLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void limitedChanged(ServiceStatus status) {
        log.event("service_capacity")
                .with("service", status.service().value())
                .with("limited", status.limited())
                .with("slots", status.fleetSlots())
                .with("in_progress", Math.round(status.fleetInProgress()))
                .with("limit", Math.round(status.limit()))
                .with("even_share", status.evenShare())
                .write();
    }
}
