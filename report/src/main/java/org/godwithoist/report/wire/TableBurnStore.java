package org.godwithoist.report.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.report.BurnStore;
import org.godwithoist.report.IntervalCounts;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/**
 * Stores counts in table {@code burn}: one row for each daemon and interval, which are later merged
 * into one row for the interval.
 */
public final class TableBurnStore implements BurnStore {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Last part of the key of a merged row. It differs from the keys of daemons, in which a slash
     * and the incarnation follow the host id, and sorts after them.
     */
    private static final String MERGED_KEY_SUFFIX = "~merged";

    private final TableStore store;

    /** Creates the store without accessing the tables. */
    public TableBurnStore(TableStore store) {
        this.store = store;
    }

    @Override
    public void write(HostId daemon, long incarnation, IntervalCounts counts) {
        String host = daemon.value().replace("%", "%25").replace("/", "%2F");
        String key = prefix(counts.number()) + host + "/" + incarnation;
        Write write = Write.put(Table.BURN, key, BurnJson.encode(counts));
        Await.result(store.commit(List.of(write)), STORE_TIMEOUT);
    }

    @Override
    public IntervalCounts read(long number) {
        return sum(number, rows(number));
    }

    @Override
    public boolean merge(long number) {
        List<Row> rows = rows(number);
        boolean merged = rows.size() == 1 && rows.getFirst().key().endsWith(MERGED_KEY_SUFFIX);
        if (rows.isEmpty() || merged) {
            return true;
        }
        String key = prefix(number) + MERGED_KEY_SUFFIX;
        long version = Write.ABSENT;
        List<Write> writes = new ArrayList<>();
        for (Row r : rows) {
            if (r.key().equals(key)) {
                version = r.version();
            } else {
                writes.add(Write.delete(Table.BURN, r.key(), r.version()));
            }
        }
        writes.add(Write.replace(Table.BURN, key, version, BurnJson.encode(sum(number, rows))));
        try {
            Await.result(store.commit(writes), STORE_TIMEOUT);
            return true;
        } catch (ConditionFailedException e) {
            return false;
        }
    }

    @Override
    public void delete(long number) {
        List<Write> deletes =
                rows(number).stream()
                        .map(r -> Write.delete(Table.BURN, r.key(), r.version()))
                        .toList();
        if (!deletes.isEmpty()) {
            Await.result(store.commit(deletes), STORE_TIMEOUT);
        }
    }

    private List<Row> rows(long number) {
        return Await.result(store.scan(Table.BURN, prefix(number)), STORE_TIMEOUT);
    }

    private static IntervalCounts sum(long number, List<Row> rows) {
        IntervalCounts sum = IntervalCounts.empty(number);
        rows.forEach(r -> BurnJson.decodeInto(r.value(), sum));
        return sum;
    }

    private static String prefix(long number) {
        return "%012d/".formatted(number);
    }
}
