package org.godwithoist.dispatch;

/** How a daemon treats new requests. */
public enum ServingState {
    /** Serves requests and keeps connections open. */
    SERVING(true, true),
    /** Serves requests and closes each connection after its next response. */
    DRAINING(false, true),
    /** Serves only requests that end soon. */
    CLOSING(false, false);

    private final boolean keepsConnections;
    private final boolean acceptsStreams;

    ServingState(boolean keepsConnections, boolean acceptsStreams) {
        this.keepsConnections = keepsConnections;
        this.acceptsStreams = acceptsStreams;
    }

    /** Returns whether a connection stays open after a response. */
    public boolean keepsConnections() {
        return keepsConnections;
    }

    /** Returns whether requests with a streaming response are accepted. */
    public boolean acceptsStreams() {
        return acceptsStreams;
    }
}
