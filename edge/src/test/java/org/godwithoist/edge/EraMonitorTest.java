package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.StaleEraException;
import org.godwithoist.store.feed.StoreEras;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EraMonitorTest {
    private static final int TASKS = 8;

    private final AtomicInteger calls = new AtomicInteger();
    private final EraMonitor monitor =
            new EraMonitor(EventLog.start(OutputStream.nullOutputStream()));
    private final StoreEras eras = new StoreEras(monitor, Ticker.SYSTEM);

    @Nested
    final class RestoreListeners {
        /** Guards against rows that are written again at each start of a daemon. */
        @Test
        void firstEraIsNoRestore() throws StaleEraException {
            monitor.addRestoreListener(calls::incrementAndGet);
            eras.accept(Optional.of("4"));
            assertEquals(0, calls.get());
        }

        /** Guards against a call for each table, or for each task that notices the restore. */
        @Test
        void eachRestoreIsToldOnce() throws Exception {
            monitor.addRestoreListener(calls::incrementAndGet);
            eras.accept(Optional.of("4"));
            List<Thread> tasks = new ArrayList<>();
            for (int i = 0; i < TASKS; i++) {
                tasks.add(Tasks.start("reader-" + i, this::acceptNextEra));
            }
            for (Thread t : tasks) {
                t.join();
            }
            assertEquals(1, calls.get());
            eras.accept(Optional.of("6"));
            assertEquals(2, calls.get());
        }

        private void acceptNextEra() {
            try {
                eras.accept(Optional.of("5"));
            } catch (StaleEraException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
