package org.godwithoist.membership;

import java.util.Locale;

/** How an attempt to bring the host list up to date ended. */
public enum HostListResult {
    /** The platform returned the list. */
    READ,
    /** The platform did not return the list. */
    READ_FAILED,
    /** A peer has the same copy. */
    UNCHANGED,
    /** A peer sent the changed entries. */
    CHANGES,
    /** A peer sent the whole list. */
    WHOLE,
    /** The copy of the peer is not certainly younger than the one held. */
    NOT_YOUNGER,
    /** The peer has no copy, or replaced it between two pages. */
    NONE,
    /** The peer did not answer, or its answer is malformed. */
    PULL_FAILED;

    /** Returns whether the platform or a peer answered with what it has. */
    public boolean isResponse() {
        return this != READ_FAILED && this != NONE && this != PULL_FAILED;
    }

    /** Returns the name shown to operators. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
