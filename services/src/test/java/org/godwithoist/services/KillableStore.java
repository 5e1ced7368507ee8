package org.godwithoist.services;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.membership.Target;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/**
 * A daemon's access to the store and the target that simulates a crash of the daemon at a given
 * step: before or after any operation. After that step every operation fails without effect.
 */
final class KillableStore implements TableStore, ServiceClient {
    private final TableStore store;
    private final ServiceClient target;
    private int stepsLeft;

    /** Ends the crashed daemon's task; no handler of the daemon catches it. */
    static final class Killed extends Error {
        private static final long serialVersionUID = 1L;
    }

    KillableStore(TableStore store, ServiceClient target, int steps) {
        this.store = store;
        this.target = target;
        this.stepsLeft = steps;
    }

    boolean alive() {
        return stepsLeft > 0;
    }

    private void step() {
        stepsLeft--;
        if (stepsLeft <= 0) {
            throw new Killed();
        }
    }

    private <T> T stepped(Supplier<T> operation) {
        step();
        T result = operation.get();
        step();
        return result;
    }

    @Override
    public CompletableFuture<Optional<Row>> read(Table table, String key) {
        return stepped(() -> store.read(table, key));
    }

    @Override
    public CompletableFuture<List<Row>> scan(Table table, String prefix) {
        return stepped(() -> store.scan(table, prefix));
    }

    @Override
    public CompletableFuture<List<Long>> commit(List<Write> writes) {
        return stepped(() -> store.commit(writes));
    }

    @Override
    public ServiceAnswer send(Target t, RequestId attempt, ServiceCall call, ByteStream body) {
        return stepped(() -> target.send(t, attempt, call, body));
    }
}
