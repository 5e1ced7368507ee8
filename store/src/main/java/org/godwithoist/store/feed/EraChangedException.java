package org.godwithoist.store.feed;

/** Thrown if the requested version is of an earlier era than the store. */
public final class EraChangedException extends HistoryExpiredException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a request after a version to a store of another era. */
    public EraChangedException(StoreVersion requested, StoreEra current) {
        super("version " + requested + " was requested in era " + current);
    }
}
