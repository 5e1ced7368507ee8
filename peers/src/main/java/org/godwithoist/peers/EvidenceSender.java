package org.godwithoist.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.quarantine.SuspectEvidence;

/**
 * Sends the evidence against suspects to other daemons: at once when this daemon has observed
 * something, and at intervals as long as there is a suspect, for daemons that have restarted or
 * have missed a message. All known evidence is sent, also that of others, so that it reaches
 * daemons to which its observer has no path. Thread-safe.
 */
final class EvidenceSender {
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

    /** Maximum number of messages to one daemon at a time; the strongest evidence comes first. */
    private static final int MAX_MESSAGES = 8;

    private final Member self;
    private final Quarantine quarantine;
    private final Supplier<Collection<Endpoint>> receivers;
    private final PeerTransport transport;
    private final EventLog log;

    /**
     * Creates a sender.
     *
     * @param receivers addresses of the daemons that receive messages of this one
     */
    EvidenceSender(
            Member self,
            Quarantine quarantine,
            Supplier<Collection<Endpoint>> receivers,
            PeerTransport transport,
            EventLog log) {
        this.self = self;
        this.quarantine = quarantine;
        this.receivers = receivers;
        this.transport = transport;
        this.log = log;
    }

    /** Sends evidence until the task is interrupted. */
    void run() {
        while (quarantine.awaitObservation(REFRESH_INTERVAL)) {
            send();
        }
    }

    /** Sends what is known now. */
    void send() {
        List<SuspectEvidence> evidence = quarantine.evidence();
        if (evidence.isEmpty()) {
            return;
        }
        for (Endpoint receiver : receivers.get()) {
            send(evidence, receiver);
        }
    }

    private void send(List<SuspectEvidence> evidence, Endpoint receiver) {
        int end = Math.min(evidence.size(), MAX_MESSAGES * EvidenceMessage.MAX_SUSPECTS);
        try {
            for (int i = 0; i < end; i += EvidenceMessage.MAX_SUSPECTS) {
                int next = Math.min(end, i + EvidenceMessage.MAX_SUSPECTS);
                transport.send(
                        new EvidenceMessage(self.host(), self.domain(), evidence.subList(i, next)),
                        receiver);
            }
        } catch (IOException e) {
            log.event("peer_message_not_sent")
                    .with("address", receiver.toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }
}
