package org.godwithoist.peers;

import java.io.Closeable;
import java.io.IOException;
import org.godwithoist.core.id.Endpoint;

/**
 * Sends and receives messages between daemons. Delivery is not guaranteed. {@link #send} may be
 * called by any task, {@link #receive} by one task only.
 */
public interface PeerTransport extends Closeable {
    /**
     * A received message with its sender.
     *
     * @param from address from which the message was sent, at which the sender receives messages
     */
    record Received(PeerMessage message, Endpoint from) {}

    /**
     * Sends a message without waiting for its delivery.
     *
     * @throws IOException if the message cannot be handed to the network
     */
    void send(PeerMessage message, Endpoint to) throws IOException;

    /**
     * Waits for the next message.
     *
     * @throws MalformedMessageException if the received bytes are not a valid message; the next
     *     message can still be received
     * @throws IOException if the transport is closed or fails
     */
    Received receive() throws IOException, MalformedMessageException;
}
