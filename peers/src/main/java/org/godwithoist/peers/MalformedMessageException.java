package org.godwithoist.peers;

/**
 * Thrown when received bytes are not a valid message. The transport stays usable: the next message
 * can be received.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; transports prepend the sender's address to the message. */
    public MalformedMessageException(String message) {
        super(message);
    }
}
