package org.godwithoist.rollout.fleet;

import java.util.List;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.targets.PeerLoads;

/** The orders in progress, as daemons exchange reports about them. Thread-safe. */
public interface RolloutReports {
    /** Waits until an order is in progress; returns false if the task was interrupted. */
    boolean awaitOrder();

    /**
     * Returns a report about each order in progress.
     *
     * @param scope daemons whose evidence the reports contain
     * @param to receiving daemon; its own evidence is left out of reports of the whole fleet
     */
    List<RolloutReport> reports(PeerLoads.Scope scope, HostId to);

    /** Applies a report of another daemon. */
    void receive(HostId sender, FailureDomainId domain, RolloutReport report);
}
