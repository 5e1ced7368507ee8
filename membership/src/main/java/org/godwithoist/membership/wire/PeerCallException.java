package org.godwithoist.membership.wire;

import org.godwithoist.core.id.HostId;

/** A call to a peer failed: the peer is unknown, did not respond in time or rejected the call. */
public final class PeerCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public PeerCallException(HostId peer, String message) {
        super("call to " + peer + ": " + message);
    }

    /** Creates an exception with a cause. */
    public PeerCallException(HostId peer, String message, Throwable cause) {
        super("call to " + peer + ": " + message, cause);
    }
}
