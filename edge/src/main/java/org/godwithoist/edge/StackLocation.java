package org.godwithoist.edge;

/** Finds the place of an unexpected failure, for the log. */
final class StackLocation {
    private StackLocation() {}

    /** Returns the place where a failure occurred; empty if it is not known. */
    static String of(Throwable failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }
}
