package org.godwithoist.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.overload.DemandReport;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.targets.PeerLoads;

/**
 * Sends the demand for services that may soon be full to other daemons, along the same paths as the
 * load reports. Sends nothing while all services have free slots.
 */
final class DemandSender {
    /** Some reports may be lost before the last one expires. */
    private static final Duration INTERVAL = Duration.ofMillis(150);

    /**
     * A daemon that receives messages of this one.
     *
     * @param member the receiver
     * @param scope whose demand it receives
     */
    record Receiver(Member member, PeerLoads.Scope scope) {}

    private final Member self;
    private final long incarnation;
    private final OverloadControl overload;
    private final Supplier<Map<HostId, Receiver>> receivers;
    private final PeerTransport transport;
    private final EventLog log;

    DemandSender(
            Member self,
            long incarnation,
            OverloadControl overload,
            Supplier<Map<HostId, Receiver>> receivers,
            PeerTransport transport,
            EventLog log) {
        this.self = self;
        this.incarnation = incarnation;
        this.overload = overload;
        this.receivers = receivers;
        this.transport = transport;
        this.log = log;
    }

    /** Sends demand until the task is interrupted. */
    void run() {
        while (Tasks.sleep(INTERVAL)) {
            overload.refresh();
            receivers.get().values().forEach(this::send);
        }
    }

    private void send(Receiver to) {
        HostId host = to.member().host();
        try {
            for (DemandReport r : overload.reports(to.scope(), host, incarnation)) {
                DemandReport report = r.largest(DemandMessage.MAX_WORKSPACES);
                DemandMessage message = new DemandMessage(self.host(), self.domain(), report);
                transport.send(message, to.member().address());
            }
        } catch (IOException e) {
            log.event("peer_message_not_sent")
                    .with("address", to.member().address().toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }
}
