package org.godwithoist.membership;

import java.util.Locale;

/** Contact of this daemon with a member. */
public enum ContactState {
    /** It answered within the contact time, or it is this daemon. */
    CONTACT,
    /** It did not answer within the contact time; reserved slots must not be used. */
    LATE,
    /** It did not answer for the removal time or has stopped, and does not count any more. */
    SILENT;

    /** Returns the name shown to operators. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
