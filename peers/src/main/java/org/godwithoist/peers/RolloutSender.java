package org.godwithoist.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.rollout.fleet.RolloutReport;
import org.godwithoist.rollout.fleet.RolloutReports;
import org.godwithoist.targets.PeerLoads;

/**
 * Sends reports about orders to other daemons, a few times a second while an order is in progress,
 * in a task of its own. The receivers and scopes are those of the load reports.
 */
final class RolloutSender {
    /**
     * Interval between two reports; a bad version is noticed by all daemons after three hops at
     * most, of the seconds that a rollback may take.
     */
    private static final Duration INTERVAL = Duration.ofMillis(200);

    private final Member self;
    private final RolloutReports reports;
    private final Supplier<Map<HostId, PeerLoads.Scope>> receivers;
    private final Function<HostId, Endpoint> addressOf;
    private final PeerTransport transport;
    private final EventLog log;

    RolloutSender(
            Member self,
            RolloutReports reports,
            Supplier<Map<HostId, PeerLoads.Scope>> receivers,
            Function<HostId, Endpoint> addressOf,
            PeerTransport transport,
            EventLog log) {
        this.self = self;
        this.reports = reports;
        this.receivers = receivers;
        this.addressOf = addressOf;
        this.transport = transport;
        this.log = log;
    }

    /** Sends reports until the task is interrupted. */
    void run() {
        while (reports.awaitOrder() && Tasks.sleep(INTERVAL)) {
            receivers.get().forEach(this::send);
        }
    }

    private void send(HostId receiver, PeerLoads.Scope scope) {
        Endpoint address = addressOf.apply(receiver);
        try {
            for (RolloutReport report : reports.reports(scope, receiver)) {
                transport.send(new RolloutMessage(self.host(), self.domain(), report), address);
            }
        } catch (IOException e) {
            log.event("peer_message_not_sent")
                    .with("address", address.toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }
}
