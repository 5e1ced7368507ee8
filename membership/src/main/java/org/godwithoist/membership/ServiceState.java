package org.godwithoist.membership;

/** Whether a target may get new work, according to the host list and the orders. */
public enum ServiceState {
    /** In service. */
    IN_SERVICE(true),
    /** The platform lists its host as leaving; the target finishes its work. */
    DRAINING(false),
    /** Operators took its host or failure domain out of service. */
    OUT_OF_SERVICE(false);

    private final boolean acceptsWork;

    ServiceState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /** Returns whether new work may be sent. */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
