package org.godwithoist.store.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/** In-memory table service. Thread-safe; the returned futures are already completed. */
public final class FakeTableStore implements TableStore {
    private final Map<Table, NavigableMap<String, Row>> tables = new EnumMap<>(Table.class);
    private final Queue<StoreFault> commitFaults = new ArrayDeque<>();
    private StoreFault fault = StoreFault.NONE;
    private long lastVersion;
    private long readCount;
    private long writtenRows;

    /** Sets the fault of all later operations. */
    public synchronized void setFault(StoreFault fault) {
        this.fault = fault;
    }

    /**
     * Queues a fault for one commit. Each commit takes one queued fault; if there is none, the
     * general fault applies.
     */
    public synchronized void faultNextCommit(StoreFault fault) {
        commitFaults.add(fault);
    }

    /** Returns the number of reads and scans so far. */
    public synchronized long reads() {
        return readCount;
    }

    /** Returns the number of rows written or deleted so far. */
    public synchronized long writes() {
        return writtenRows;
    }

    @Override
    public synchronized CompletableFuture<Optional<Row>> read(Table table, String key) {
        readCount++;
        return fault.apply(() -> Optional.ofNullable(table(table).get(key)));
    }

    @Override
    public synchronized CompletableFuture<List<Row>> scan(Table table, String prefix) {
        readCount++;
        return fault.apply(
                () ->
                        table(table).tailMap(prefix, true).values().stream()
                                .takeWhile(r -> r.key().startsWith(prefix))
                                .toList());
    }

    @Override
    public synchronized CompletableFuture<List<Long>> commit(List<Write> writes) {
        StoreFault queued = commitFaults.poll();
        return (queued == null ? fault : queued).apply(() -> applyAll(writes));
    }

    private List<Long> applyAll(List<Write> writes) {
        for (Write w : writes) {
            Row row = table(w.table()).get(w.key());
            long version = row == null ? Write.ABSENT : row.version();
            if (w.expected() != Write.ANY && w.expected() != version) {
                throw new ConditionFailedException(
                        w.table()
                                + "/"
                                + w.key()
                                + " has another version than expected: "
                                + version);
            }
        }
        List<Long> versions = new ArrayList<>();
        for (Write w : writes) {
            versions.add(apply(w));
        }
        return versions;
    }

    private long apply(Write w) {
        writtenRows++;
        if (w.value().isEmpty()) {
            table(w.table()).remove(w.key());
            return Write.ABSENT;
        }
        lastVersion++;
        table(w.table()).put(w.key(), new Row(w.key(), lastVersion, w.value().get()));
        return lastVersion;
    }

    private NavigableMap<String, Row> table(Table table) {
        return tables.computeIfAbsent(table, t -> new TreeMap<>());
    }
}
