package org.godwithoist.chat;

/** An operation at an engine failed. */
public final class EngineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is known about the failed operation. */
    public enum Kind {
        /** The engine rejected the request, which therefore did not run. */
        REJECTED(false),
        /** The engine rejected the content of the request, so that a retry is pointless. */
        INVALID(false),
        /** The engine failed while it processed the request. */
        FAILED(true),
        /** No connection could be established, so nothing was sent. */
        UNREACHABLE(false),
        /** The connection was lost or timed out; the engine may still be running the request. */
        CONNECTION_LOST(true),
        /** The engine does not know the request. */
        UNKNOWN_REQUEST(false);

        private final boolean mayHaveRun;

        Kind(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** Returns whether the engine may have run the request. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param message sentence that names the engine
     */
    public EngineException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /**
     * Creates an exception without a cause.
     *
     * @param message sentence that names the engine
     */
    public EngineException(Kind kind, String message) {
        this(kind, message, null);
    }

    /** Returns what is known about the failed operation. */
    public Kind kind() {
        return kind;
    }
}
