package org.godwithoist.edge;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreEras;

/** Logs the eras of the store, and tells listeners that it was restored. Thread-safe. */
final class EraMonitor implements StoreEras.Observer {
    private final EventLog log;
    private final List<Runnable> restoreListeners = new CopyOnWriteArrayList<>();

    EraMonitor(EventLog log) {
        this.log = log;
    }

    /**
     * Adds a listener that is called once for each restore, by the task that noticed it. It must
     * neither block nor send requests itself.
     */
    void addRestoreListener(Runnable listener) {
        restoreListeners.add(listener);
    }

    @Override
    public void eraChanged(StoreEra previous, StoreEra next) {
        log.event("store_era").with("era", next.value()).with("previous", previous.value()).write();
        if (!previous.equals(StoreEra.UNKNOWN)) {
            restoreListeners.forEach(Runnable::run);
        }
    }

    @Override
    public void oddEra(StoreEras.Oddity oddity, String detail) {
        log.event("store_era_odd").with("oddity", oddity.name()).with("detail", detail).write();
    }
}
