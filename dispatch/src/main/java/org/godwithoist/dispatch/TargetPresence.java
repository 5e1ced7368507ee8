package org.godwithoist.dispatch;

/** Who is found at the address of a target that was reached there before. */
public enum TargetPresence {
    /** The same incarnation of the target. */
    PRESENT(true),
    /**
     * A process that accepts connections and does not say who it is, for example a target that has
     * no free slot or connection for the question. Other targets say at once that they are others.
     */
    UNIDENTIFIED(true),
    /** Another target, or another incarnation of the target. */
    REPLACED(false),
    /** No process that accepts connections. */
    ENDED(false);

    private final boolean mayBeAlive;

    TargetPresence(boolean mayBeAlive) {
        this.mayBeAlive = mayBeAlive;
    }

    /** Returns whether the incarnation that was reached before may still run. */
    public boolean mayBeAlive() {
        return mayBeAlive;
    }
}
