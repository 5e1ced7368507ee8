package org.godwithoist.membership;

/** Whether a target may get new work, as far as membership knows. */
public enum ServiceState {
    /** In service. */
    IN(true),
    /** The platform lists its host as leaving. */
    LEAVING(false),
    /** Operators took its host or failure domain out of service. */
    OUT(false);

    private final boolean acceptsWork;

    ServiceState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /** Returns whether new work may be sent. */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
