package org.godwithoist.membership.wire;

import org.godwithoist.core.id.HostId;

/** A call to a peer failed: the peer is unknown, did not answer in time or refused. */
public final class PeerCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes the failure. */
    public PeerCallException(HostId peer, String message) {
        super("call to " + peer + ": " + message);
    }

    /** Makes the failure with its cause. */
    public PeerCallException(HostId peer, String message, Throwable cause) {
        super("call to " + peer + ": " + message, cause);
    }
}
