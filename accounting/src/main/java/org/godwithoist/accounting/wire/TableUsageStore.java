package org.godwithoist.accounting.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.accounting.ChainId;
import org.godwithoist.accounting.ChainRow;
import org.godwithoist.accounting.StoredRow;
import org.godwithoist.accounting.UsageStore;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/** Stores settlement rows in table {@code usage}. Thread-safe. */
public final class TableUsageStore implements UsageStore {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    private static final long FIRST_SEQUENCE = 1;

    private final TableStore store;

    /** Creates the store without accessing the tables. */
    public TableUsageStore(TableStore store) {
        this.store = store;
    }

    @Override
    public StoredRow load(ChainId chain) {
        List<Row> rows =
                Await.result(store.scan(Table.USAGE, ChainRowJson.prefix(chain)), STORE_TIMEOUT);
        if (rows.isEmpty()) {
            return new StoredRow(ChainRow.none(chain), Write.ABSENT);
        }
        // The first row of the chain is retained in addition to the current one.
        Row last = rows.getLast();
        return new StoredRow(ChainRowJson.decode(last.value()), last.version());
    }

    @Override
    public Optional<StoredRow> advance(StoredRow last, ChainRow next) {
        List<Write> writes = new ArrayList<>();
        String key = ChainRowJson.key(next.chain(), next.sequence());
        writes.add(Write.insert(Table.USAGE, key, ChainRowJson.encode(next)));
        if (last.row().sequence() > 0) {
            writes.add(removePrevious(last));
        }
        try {
            List<Long> versions = Await.result(store.commit(writes), STORE_TIMEOUT);
            return Optional.of(new StoredRow(next, versions.getFirst()));
        } catch (ConditionFailedException e) {
            return Optional.empty();
        } catch (OutcomeUnknownException | AwaitTimeoutException e) {
            StoredRow found = load(next.chain());
            if (found.row().equals(next)) {
                return Optional.of(found);
            }
            if (found.row().sequence() == last.row().sequence()) {
                throw e;
            }
            return Optional.empty();
        }
    }

    /**
     * Makes the transaction fail if the chain has advanced, even if the row with the new key was
     * written and deleted in the meantime. The first row of a chain is emptied but not deleted.
     * Otherwise a delayed insert of the first row would succeed in addition to the current row, and
     * its writer would consider its usage settled.
     */
    private static Write removePrevious(StoredRow last) {
        ChainRow row = last.row();
        String key = ChainRowJson.key(row.chain(), row.sequence());
        if (row.sequence() > FIRST_SEQUENCE) {
            return Write.delete(Table.USAGE, key, last.version());
        }
        String emptyRow = ChainRowJson.encode(ChainRow.none(row.chain()));
        return Write.replace(Table.USAGE, key, last.version(), emptyRow);
    }

    @Override
    public List<ChainRow> all() {
        Map<ChainId, ChainRow> current = new HashMap<>();
        for (Row r : Await.result(store.scan(Table.USAGE, ""), STORE_TIMEOUT)) {
            ChainRow row = ChainRowJson.decode(r.value());
            current.put(row.chain(), row);
        }
        return List.copyOf(current.values());
    }
}
