package org.godwithoist.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.streams.RecordedOrigins;
import org.godwithoist.streams.VersionSighting;

/**
 * Tells other daemons which software versions serve beside each other, so that one that is cut off
 * from the store takes none of them for the only one: at once when the versions of this daemon's
 * targets change, and at intervals while a service has several. What others have told is passed on,
 * with its age. Thread-safe.
 */
final class VersionSender {
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

    private final Member self;
    private final RecordedOrigins origins;
    private final Supplier<Collection<Endpoint>> receivers;
    private final PeerTransport transport;
    private final EventLog log;

    /**
     * Creates a sender.
     *
     * @param receivers addresses of the daemons that receive messages of this one
     */
    VersionSender(
            Member self,
            RecordedOrigins origins,
            Supplier<Collection<Endpoint>> receivers,
            PeerTransport transport,
            EventLog log) {
        this.self = self;
        this.origins = origins;
        this.receivers = receivers;
        this.transport = transport;
        this.log = log;
    }

    /** Sends versions until the task is interrupted. */
    void run() {
        while (origins.awaitVersionChange(REFRESH_INTERVAL)) {
            send();
        }
    }

    /** Sends what is known now. */
    void send() {
        List<VersionSighting> sightings = origins.sightings();
        if (sightings.isEmpty()) {
            return;
        }
        receivers.get().forEach(r -> send(sightings, r));
    }

    private void send(List<VersionSighting> sightings, Endpoint receiver) {
        try {
            for (VersionSighting s : sightings) {
                transport.send(new VersionMessage(self.host(), self.domain(), s), receiver);
            }
        } catch (IOException e) {
            log.event("peer_message_not_sent")
                    .with("address", receiver.toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }
}
