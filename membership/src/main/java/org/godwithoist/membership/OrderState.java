package org.godwithoist.membership;

import java.util.Locale;

/** Service state that an operator sets for a failure domain or a host. */
public enum OrderState {
    /** The subject returns to service. */
    IN(true),
    /** The subject gets no new work. */
    OUT(false);

    private final boolean acceptsWork;

    OrderState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /** Returns whether the subject may get new work. */
    public boolean acceptsWork() {
        return acceptsWork;
    }

    /** Returns the name used in requests and rows. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Parses a name used in requests and rows.
     *
     * @throws IllegalArgumentException if there is no such state
     */
    public static OrderState parse(String text) {
        for (OrderState s : values()) {
            if (s.wireName().equals(text)) {
                return s;
            }
        }
        throw new IllegalArgumentException("state must be \"out\" or \"in\", not \"" + text + "\"");
    }
}
