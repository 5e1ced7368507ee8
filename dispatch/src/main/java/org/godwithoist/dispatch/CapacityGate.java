package org.godwithoist.dispatch;

import org.godwithoist.core.time.Deadline;
import org.godwithoist.overload.AdmissionRequest;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.overload.Ticket;
import org.godwithoist.overload.WorkspaceKey;

/**
 * Asks the overload control for slots for requests, and tells it what targets respond. Thread-safe.
 */
final class CapacityGate {
    private final OverloadControl overload;

    CapacityGate(OverloadControl overload) {
        this.overload = overload;
    }

    /** Asks for a slot; the ticket must be closed when the request has ended. */
    Ticket enter(Admission.AdmittedRequest admitted, Deadline deadline) {
        AdmissionRequest request =
                new AdmissionRequest(
                        WorkspaceKey.of(admitted.workspace()),
                        admitted.priority(),
                        admitted.route().targetLatency(),
                        deadline.remaining());
        return overload.enter(admitted.service().id(), request);
    }

    /** Waits for a slot; returns false if the request gets none or its caller leaves. */
    static boolean await(Ticket ticket, CallerResponse response) {
        if (ticket.isDecided()) {
            return ticket.await();
        }
        response.onDisconnect(ticket::leave);
        if (response.callerDisconnected()) {
            ticket.leave();
        }
        boolean hasSlot = ticket.await();
        response.onDisconnect(null);
        return hasSlot;
    }

    /** Records what an attempt shows of the target's capacity. */
    static void record(AttemptResult result, Ticket slot) {
        result.timeToFirstByte().ifPresent(slot::recordResponse);
        if (result.outcome().refusesForCapacity()) {
            slot.recordRefusal();
        }
    }
}
