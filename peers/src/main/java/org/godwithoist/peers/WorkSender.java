package org.godwithoist.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.targets.FleetWork;
import org.godwithoist.targets.WorkReport;

/**
 * Reports outstanding work and work times to other daemons, while targets report work times. Has
 * the same receivers and scopes as the load reports. Thread-safe.
 */
final class WorkSender {
    /**
     * Interval between two messages to a receiver. Work times change several times a second, so
     * that a longer interval would leave them little weight; a leader of 30 daemons sends about 100
     * KB a second for 70 targets.
     */
    private static final Duration INTERVAL = Duration.ofMillis(200);

    private final Member self;
    private final long incarnation;
    private final FleetWork work;
    private final Supplier<Collection<Receiver>> receivers;
    private final PeerTransport transport;
    private final EventLog log;
    private final AtomicLong sequence = new AtomicLong();

    /**
     * Creates a sender.
     *
     * @param incarnation start time of this daemon
     * @param receivers daemons that receive messages of this one
     */
    WorkSender(
            Member self,
            long incarnation,
            FleetWork work,
            Supplier<Collection<Receiver>> receivers,
            PeerTransport transport,
            EventLog log) {
        this.self = self;
        this.incarnation = incarnation;
        this.work = work;
        this.receivers = receivers;
        this.transport = transport;
        this.log = log;
    }

    /** Sends reports until the task is interrupted. */
    void run() {
        while (Tasks.sleep(INTERVAL)) {
            if (work.isActive()) {
                receivers.get().forEach(this::send);
            }
        }
    }

    private void send(Receiver to) {
        WorkReport report =
                work.report(to.scope(), to.host(), incarnation, sequence.incrementAndGet());
        try {
            transport.send(new WorkMessage(self.host(), self.domain(), report), to.address());
        } catch (IOException e) {
            log.event("peer_message_not_sent")
                    .with("address", to.address().toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }
}
