package org.godwithoist.dispatch;

/** How a daemon treats new requests. */
public enum ServingState {
    /** Serves requests and keeps connections open. */
    SERVING(true, true),
    /** Serves requests and closes each connection after its next response. */
    LEAVING(false, true),
    /** Serves only requests that end soon. */
    CLOSING(false, false);

    private final boolean keepsConnections;
    private final boolean takesStreams;

    ServingState(boolean keepsConnections, boolean takesStreams) {
        this.keepsConnections = keepsConnections;
        this.takesStreams = takesStreams;
    }

    /** Returns whether a connection stays open after a response. */
    public boolean keepsConnections() {
        return keepsConnections;
    }

    /** Returns whether requests with a streaming response are accepted. */
    public boolean takesStreams() {
        return takesStreams;
    }
}
