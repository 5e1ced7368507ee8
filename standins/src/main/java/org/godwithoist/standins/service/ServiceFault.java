package org.godwithoist.standins.service;

import java.util.Locale;

/** Injected faults of a service stand-in. */
enum ServiceFault {
    /** The request runs and receives a response. */
    NONE(true, true),
    /** The request is rejected with status 503 and does not run. */
    REFUSE(false, true),
    /** The connection is closed before the request runs. */
    CUT_BEFORE(false, false),
    /** The request runs, but the connection is closed without a response. */
    CUT_AFTER(true, false),
    /** The request runs, but no response is sent; the connection stays open. */
    HANG_AFTER(true, false);

    private final boolean runs;
    private final boolean responds;

    ServiceFault(boolean runs, boolean responds) {
        this.runs = runs;
        this.responds = responds;
    }

    boolean runs() {
        return runs;
    }

    boolean responds() {
        return responds;
    }

    static ServiceFault fromWireName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
