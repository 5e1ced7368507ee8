package org.godwithoist.standins.service;

import java.util.Locale;

/** Faults of a service stand-in. */
enum ServiceFault {
    /** The call runs and is answered. */
    NONE(true, true),
    /** The call is refused with status 503 and does not run. */
    REFUSE(false, true),
    /** The connection is cut before the call runs. */
    CUT_BEFORE(false, false),
    /** The call runs, but the connection is cut instead of an answer. */
    CUT_AFTER(true, false),
    /** The call runs and is never answered; the connection stays open. */
    HANG_AFTER(true, false);

    private final boolean runs;
    private final boolean answers;

    ServiceFault(boolean runs, boolean answers) {
        this.runs = runs;
        this.answers = answers;
    }

    boolean runs() {
        return runs;
    }

    boolean answers() {
        return answers;
    }

    static ServiceFault fromWireName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
