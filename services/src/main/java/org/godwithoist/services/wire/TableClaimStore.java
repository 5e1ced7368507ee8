package org.godwithoist.services.wire;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.services.Claim;
import org.godwithoist.services.ClaimKey;
import org.godwithoist.services.ClaimStore;
import org.godwithoist.services.StoredResponse;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.ObjectStore;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/** Stores claims in table {@code claim} and long responses in the object store. */
public final class TableClaimStore implements ClaimStore {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum number of rows deleted by one transaction, so that transactions stay short. */
    private static final int MAX_DELETES_PER_TRANSACTION = 100;

    private final TableStore tables;
    private final ObjectStore objects;

    /** Creates a store that uses the given tables and objects. */
    public TableClaimStore(TableStore tables, ObjectStore objects) {
        this.tables = tables;
        this.objects = objects;
    }

    @Override
    public Optional<StoredClaim> read(ClaimKey key) {
        return Await.result(tables.read(Table.CLAIM, ClaimJson.key(key)), STORE_TIMEOUT)
                .map(r -> new StoredClaim(ClaimJson.decode(r.value()), r.version()));
    }

    @Override
    public OptionalLong replace(ClaimKey key, long expected, Optional<Claim> next) {
        Optional<String> objectKey =
                next.flatMap(Claim::response)
                        .filter(r -> r.place() == StoredResponse.Place.OBJECT)
                        .map(this::putObject);
        Optional<String> value = next.map(c -> ClaimJson.encode(c, objectKey));
        String rowKey = ClaimJson.key(key);
        Write write = new Write(Table.CLAIM, rowKey, expected, value);
        try {
            List<Long> versions = Await.result(tables.commit(List.of(write)), STORE_TIMEOUT);
            return OptionalLong.of(versions.getFirst());
        } catch (ConditionFailedException e) {
            return OptionalLong.empty();
        } catch (OutcomeUnknownException | AwaitTimeoutException e) {
            return resolveUnknownOutcome(rowKey, expected, value, e);
        }
    }

    /**
     * Reads the row again after the outcome of a write is unknown. The attempt id in the row shows
     * whether this daemon's write took effect.
     */
    private OptionalLong resolveUnknownOutcome(
            String rowKey, long expected, Optional<String> value, RuntimeException cause) {
        Optional<Row> found = Await.result(tables.read(Table.CLAIM, rowKey), STORE_TIMEOUT);
        if (found.map(Row::value).equals(value)) {
            return OptionalLong.of(found.map(Row::version).orElse(ABSENT_VERSION));
        }
        if (found.map(Row::version).orElse(ABSENT_VERSION) == expected) {
            throw cause;
        }
        return OptionalLong.empty();
    }

    private String putObject(StoredResponse response) {
        byte[] bytes = response.content().orElseThrow().bytes();
        String key = "claim/" + sha256(bytes);
        Await.result(objects.put(key, bytes), STORE_TIMEOUT);
        return key;
    }

    @Override
    public Optional<byte[]> body(StoredResponse response) {
        return switch (response.place()) {
            case INLINE -> response.content().map(StoredResponse.Content::bytes);
            case OBJECT -> Await.result(objects.get(ClaimJson.objectKey(response)), STORE_TIMEOUT);
            case NOT_KEPT -> Optional.empty();
        };
    }

    @Override
    public int deleteCreatedBefore(WorkspaceId workspace, Instant instant) {
        String prefix = ClaimJson.prefix(workspace);
        List<Write> deletes = new ArrayList<>();
        for (Row r : Await.result(tables.scan(Table.CLAIM, prefix), STORE_TIMEOUT)) {
            if (ClaimJson.decode(r.value()).createdAt().isBefore(instant)) {
                deletes.add(Write.delete(Table.CLAIM, r.key(), r.version()));
            }
        }
        for (int i = 0; i < deletes.size(); i += MAX_DELETES_PER_TRANSACTION) {
            int end = Math.min(deletes.size(), i + MAX_DELETES_PER_TRANSACTION);
            Await.result(tables.commit(deletes.subList(i, end)), STORE_TIMEOUT);
        }
        return deletes.size();
    }

    private static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
