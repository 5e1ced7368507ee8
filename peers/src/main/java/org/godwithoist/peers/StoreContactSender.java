package org.godwithoist.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;

/**
 * Tells other daemons at intervals that this one is in contact with the store. What others say of
 * themselves is not passed on, because daemons that lost the store together would repeat it for
 * ever. Used by one task.
 */
final class StoreContactSender {
    /** Three messages may be lost before a receiver doubts the contact. */
    private static final Duration INTERVAL = Peer.STORE_CONTACT_LIFE.dividedBy(4);

    private final Member self;
    private final BooleanSupplier hasStoreContact;
    private final Supplier<Collection<Endpoint>> receivers;
    private final PeerTransport transport;
    private final EventLog log;
    private boolean failing;

    /**
     * Creates a sender.
     *
     * @param hasStoreContact whether the store has lately responded to this daemon
     * @param receivers addresses of the daemons that receive messages of this one
     */
    StoreContactSender(
            Member self,
            BooleanSupplier hasStoreContact,
            Supplier<Collection<Endpoint>> receivers,
            PeerTransport transport,
            EventLog log) {
        this.self = self;
        this.hasStoreContact = hasStoreContact;
        this.receivers = receivers;
        this.transport = transport;
        this.log = log;
    }

    /** Sends messages until the task is interrupted. */
    void run() {
        while (Tasks.sleep(INTERVAL)) {
            if (hasStoreContact.getAsBoolean()) {
                receivers.get().forEach(this::send);
            }
        }
    }

    private void send(Endpoint receiver) {
        try {
            transport.send(new StoreContactMessage(self.host(), self.domain()), receiver);
            failing = false;
        } catch (IOException e) {
            logFailure(receiver, e);
        }
    }

    /** Logs the first failure of several in a row. */
    private void logFailure(Endpoint receiver, IOException failure) {
        if (!failing) {
            log.event("peer_message_not_sent")
                    .with("address", receiver.toString())
                    .with("reason", String.valueOf(failure.getMessage()))
                    .write();
        }
        failing = true;
    }
}
