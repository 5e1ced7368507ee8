package org.godwithoist.store.feed;

import java.io.IOException;

/** Thrown if a response is of an earlier era than one that was received before. */
public final class StaleEraException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a response. */
    public StaleEraException(StoreEra received, StoreEra current) {
        super("response of era " + received + " after one of era " + current);
    }
}
