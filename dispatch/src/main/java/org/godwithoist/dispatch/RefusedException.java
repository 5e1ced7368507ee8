package org.godwithoist.dispatch;

/** Thrown when the daemon itself responds to a request instead of a target. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Refusal refusal;

    /**
     * Creates an exception without a stack trace, because under overload it is thrown for each
     * request.
     *
     * @param detail reason for the refusal
     */
    public RefusedException(Refusal refusal, String detail) {
        super(detail, null, false, false);
        this.refusal = refusal;
    }

    /** Returns the response to send. */
    public Refusal refusal() {
        return refusal;
    }
}
