package org.godwithoist.core;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** Priority of a request. The constants are declared from highest to lowest. */
public enum Priority {
    /** Short requests that need a fast response, for example alarm triage. */
    URGENT,
    /** A person waits for the response. */
    INTERACTIVE,
    /** May be delayed but must not starve, for example log reviews. */
    BACKGROUND;

    /**
     * Returns the effective priority of a queued request. Background requests are promoted to
     * interactive once they have waited for {@code ageAfter}, so that they do not starve under
     * constant interactive load.
     *
     * @param waited time since the request was queued
     * @param ageAfter waiting time from which background requests are promoted
     */
    public Priority aged(Duration waited, Duration ageAfter) {
        boolean promoted = this == BACKGROUND && waited.compareTo(ageAfter) >= 0;
        return promoted ? INTERACTIVE : this;
    }

    /** Returns whether requests of this priority are served before those of the other one. */
    public boolean precedes(Priority other) {
        return compareTo(other) < 0;
    }

    /** Returns the name used in headers, JSON and bundles. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the priority with the given wire name; empty if the name is unknown. */
    public static Optional<Priority> fromWireName(String name) {
        for (Priority p : values()) {
            if (p.wireName().equals(name)) {
                return Optional.of(p);
            }
        }
        return Optional.empty();
    }
}
