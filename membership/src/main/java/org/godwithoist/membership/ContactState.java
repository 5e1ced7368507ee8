package org.godwithoist.membership;

import java.util.Locale;

/** State of the contact of this daemon with a member. */
public enum ContactState {
    /** It responded within the contact time, or it is this daemon. */
    CONTACT,
    /** It did not respond within the contact time; reserved slots must not be used. */
    LATE,
    /** It did not respond for the removal time or has stopped, and is no longer counted. */
    SILENT;

    /** Returns the name shown to operators. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
