package org.godwithoist.membership;

import java.util.Locale;

/** Result of an attempt to refresh the host list. */
public enum HostListResult {
    /** The platform returned the list. */
    READ,
    /** The platform did not return the list. */
    READ_FAILED,
    /** A peer has the same copy. */
    UNCHANGED,
    /** A peer sent the changed entries. */
    CHANGES,
    /** A peer sent the complete list. */
    WHOLE,
    /** The copy of the peer is not certainly newer than the local one. */
    NOT_YOUNGER,
    /** The peer has no copy, or no longer retains the one whose page was requested. */
    NONE,
    /** The peer did not respond, or its response is malformed. */
    PULL_FAILED;

    /** Returns whether the platform or a peer provided its list. */
    public boolean isResponse() {
        return this != READ_FAILED && this != NONE && this != PULL_FAILED;
    }

    /** Returns the name shown to operators. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
