package org.godwithoist.core;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** Priority of a request. The order of the constants is the order of service. */
public enum Priority {
    /** Short and prompt, for example alarm triage. */
    URGENT,
    /** A person waits for the answer. */
    INTERACTIVE,
    /** May wait but must finish, for example log reviews. */
    BACKGROUND;

    /**
     * Returns the priority after waiting. Background work is served as interactive once it has
     * waited for {@code ageAfter}, so that it finishes under constant interactive load.
     *
     * @param waited time spent in the queue
     * @param ageAfter wait after which background work is promoted
     */
    public Priority aged(Duration waited, Duration ageAfter) {
        boolean promoted = this == BACKGROUND && waited.compareTo(ageAfter) >= 0;
        return promoted ? INTERACTIVE : this;
    }

    /** Returns whether this priority is served before the other one. */
    public boolean precedes(Priority other) {
        return compareTo(other) < 0;
    }

    /** Returns the name used in headers, JSON and bundles. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the priority with the given wire name, or empty if there is none. */
    public static Optional<Priority> fromWireName(String name) {
        for (Priority p : values()) {
            if (p.wireName().equals(name)) {
                return Optional.of(p);
            }
        }
        return Optional.empty();
    }
}
