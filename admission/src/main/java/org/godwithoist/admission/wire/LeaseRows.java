package org.godwithoist.admission.wire;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.admission.LeaseRecord;
import org.godwithoist.admission.LeaseTable;
import org.godwithoist.admission.LeaseWrite;
import org.godwithoist.admission.ShardId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.json.Findings;
import org.godwithoist.core.json.JsonDocument;
import org.godwithoist.core.json.ObjectReader;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/** Stores shard leases as JSON rows of the table {@code shard_lease}. */
public final class LeaseRows implements LeaseTable {
    private final TableStore store;

    /** Creates the storage on a table store. */
    public LeaseRows(TableStore store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<Optional<LeaseRecord.Versioned>> read(ShardId shard) {
        return store.read(Table.SHARD_LEASE, shard.rowKey())
                .thenApply(row -> row.map(LeaseRows::decode));
    }

    @Override
    public CompletableFuture<Long> write(ShardId shard, LeaseWrite write) {
        String value = encode(write.record());
        Write w = Write.replace(Table.SHARD_LEASE, shard.rowKey(), write.expectedVersion(), value);
        return store.commit(List.of(w)).thenApply(versions -> versions.get(0));
    }

    private static String encode(LeaseRecord r) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        r.owner().ifPresent(h -> node.put("owner", h.value()));
        node.put("incarnation", r.ownerIncarnation());
        node.put("epoch", r.epoch());
        node.put("renewal", r.writeNumber());
        r.candidates().forEach(c -> node.withArray("candidates").add(c.value()));
        return node.toString();
    }

    private static LeaseRecord.Versioned decode(Row row) {
        JsonDocument document = JsonDocument.parse("shard_lease/" + row.key(), row.value());
        Findings findings = new Findings();
        ObjectReader r = ObjectReader.root(document, findings);
        var record =
                new LeaseRecord(
                        r.optional("owner", HostId::new),
                        r.longInteger("incarnation", 0, Long.MAX_VALUE, 0),
                        r.longInteger("epoch", 1, Long.MAX_VALUE, 1),
                        r.longInteger("renewal", 0, Long.MAX_VALUE, 0),
                        r.strings("candidates", HostId::new));
        r.reportUnknownFields();
        findings.throwIfAny();
        return new LeaseRecord.Versioned(record, row.version());
    }
}
