package org.godwithoist.chat;

/** An engine did not do what it was asked. */
public final class EngineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is known about the failed operation. */
    public enum Kind {
        /** The engine refused the request, which therefore did not run. */
        REFUSED(false),
        /** The engine rejected the content of the request, so that a repeat is useless. */
        INVALID(false),
        /** The engine failed while it had the request. */
        FAILED(true),
        /** No connection could be made, so nothing was sent. */
        UNREACHABLE(false),
        /** The connection was lost or silent; the engine may go on. */
        LOST(true),
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

    /** Makes the failure with a sentence that names the engine. */
    public EngineException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Makes the failure with a sentence that names the engine. */
    public EngineException(Kind kind, String message) {
        this(kind, message, null);
    }

    /** Returns what is known about the failed operation. */
    public Kind kind() {
        return kind;
    }
}
