package org.godwithoist.bundle.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.store.BundleTables;
import org.godwithoist.bundle.store.BundleWorkflow;
import org.godwithoist.bundle.store.RevisionStore;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.store.fake.FakeObjectStore;
import org.godwithoist.store.fake.FakeTableStore;

/** Daemons in one process with a shared fake network and fake stores. */
final class FakeFleet implements AutoCloseable {
    final Fixture fixture = new Fixture();
    final FakeTableStore table = new FakeTableStore();
    final FakeObjectStore objects = new FakeObjectStore();
    final FakeNetwork network;
    final List<Daemon> daemons = new ArrayList<>();

    record Daemon(
            HostId host, HeadState state, BundleDistributor distributor, BundleWorkflow workflow) {}

    FakeFleet(int size, Duration oneWayDelay, long seed) {
        network = new FakeNetwork(size, oneWayDelay, seed);
        for (int i = 0; i < size; i++) {
            daemons.add(newDaemon(network.members().get(i).host()));
        }
    }

    private Daemon newDaemon(HostId host) {
        HeadState state = new HeadState(fixture.keys());
        RevisionStore revisions = new RevisionStore(objects, state);
        BundleTables tables = new BundleTables(table);
        BundleDistributor distributor =
                new BundleDistributor(
                        state, revisions, tables, network.directory(host), network.transport(host));
        distributor.register();
        return new Daemon(
                host,
                state,
                distributor,
                new BundleWorkflow(fixture, state, tables, revisions, distributor));
    }

    Daemon get(int i) {
        return daemons.get(i);
    }

    /** Replaces a daemon by one with empty state. */
    Daemon restart(int i) {
        daemons.get(i).distributor().close();
        daemons.set(i, newDaemon(daemons.get(i).host()));
        return daemons.get(i);
    }

    void start() {
        daemons.forEach(d -> d.distributor().start());
    }

    static boolean within(Duration time, BooleanSupplier condition) {
        long end = System.nanoTime() + time.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0 || !Tasks.sleep(Duration.ofMillis(2))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        daemons.forEach(d -> d.distributor().close());
    }
}
