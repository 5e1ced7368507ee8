package org.godwithoist.edge;

import org.godwithoist.core.log.EventLog;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreEras;

/** Logs the eras of the store. Thread-safe. */
record EraLog(EventLog log) implements StoreEras.Observer {
    @Override
    public void eraChanged(StoreEra previous, StoreEra next) {
        log.event("store_era").with("era", next.value()).with("previous", previous.value()).write();
    }

    @Override
    public void oddEra(StoreEras.Oddity oddity, String detail) {
        log.event("store_era_odd").with("oddity", oddity.name()).with("detail", detail).write();
    }
}
