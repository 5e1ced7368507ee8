package org.godwithoist.dispatch;

/** How a target states the end of a response's body. */
public enum BodyEnd {
    /** The length of the body is stated before it. */
    LENGTH,
    /** A mark after the last byte states the end. */
    MARK,
    /**
     * The body ends with its connection, and nothing else states its end. The system closes the
     * connections of a process that has crashed in the same way.
     */
    CONNECTION;

    /** Returns whether the target states the end. */
    public boolean isStated() {
        return this != CONNECTION;
    }
}
