package org.godwithoist.dispatch;

/** How the end of a response's body is stated. */
public enum BodyEnd {
    /** The length of the body is stated before it. */
    LENGTH,
    /** A mark after the last byte states the end. */
    MARK,
    /**
     * The body ends with its connection, and nothing else states its end. A target that crashes
     * between two events ends its connection in the same way, so the caller must not be told that
     * such a body is complete.
     */
    CONNECTION;

    /**
     * Returns how the end is stated to the caller while the body is still being read. Another
     * target may have to continue it, so its length cannot be stated.
     */
    public BodyEnd whenForwarded() {
        return this == LENGTH ? MARK : this;
    }
}
