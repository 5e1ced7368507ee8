package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.godwithoist.catalog.Catalog;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.http.ConnectionLimit;
import org.godwithoist.dispatch.http.ConnectionListener;
import org.godwithoist.platform.StoreCalls;
import org.godwithoist.relay.Leadership;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;

/** The part of a daemon that follows the store, as a leader or as a member of one. */
final class StoreReader implements Closeable {
    /** Time within which changes must take effect, as {@link EdgeSettingsText} states it. */
    static final Duration PROPAGATION_DELAY = Duration.ofSeconds(2);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofMillis(100);
    private static final ServiceId DESK = new ServiceId("desk");

    private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final CatalogState catalogs = new CatalogState();
    private final TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
    private final Path settings = Files.createTempFile("reader", ".conf");
    private final StoreFollowers followers;
    private final ConnectionListener relay;
    private final Thread housekeeping;

    private StoreReader(RowStoreStandin store, Optional<Endpoint> leader) throws IOException {
        Files.writeString(settings, EdgeSettingsText.of("edge-1", 0, 0, store.endpoint()));
        EventLog log = EventLog.start(logBytes);
        followers =
                new StoreFollowers(
                        new StoreFollowers.Dependencies(
                                new SettingsFile(settings, log),
                                catalogs,
                                directory,
                                catalogs::updateIfNewer,
                                Optional.empty(),
                                entries -> {},
                                () -> {},
                                () -> {},
                                new StoreEras(new EraMonitor(log), Ticker.SYSTEM),
                                new StoreCalls(),
                                log,
                                Ticker.SYSTEM,
                                new SplittableRandom(3)));
        Supervisor supervisor = new Supervisor((task, cause, backoff) -> {}, Ticker.SYSTEM);
        relay =
                ConnectionListener.open(
                        new Endpoint("127.0.0.1", 0),
                        "relay",
                        supervisor,
                        ConnectionLimit.none(),
                        ConnectionListener.Handlers.closing(followers.relayServer()::serve));
        followers.start(new Leadership(() -> leader, leader::isEmpty), supervisor);
        housekeeping = Tasks.start("housekeeping", this::removeMissingTargets);
    }

    static StoreReader leader(RowStoreStandin store) throws IOException {
        return new StoreReader(store, Optional.empty());
    }

    static StoreReader member(RowStoreStandin store, StoreReader leader) throws IOException {
        return new StoreReader(store, Optional.of(new Endpoint("127.0.0.1", leader.relay.port())));
    }

    private void removeMissingTargets() {
        while (Tasks.sleep(HOUSEKEEPING_INTERVAL)) {
            directory.removeMissing();
        }
    }

    long configurationVersion() {
        return catalogs.current().map(Catalog::version).orElse(0L);
    }

    Set<FailureDomainId> outOfService() {
        return catalogs.outOfService();
    }

    private Optional<Target> find(String id) {
        return directory.targets(DESK).stream().filter(t -> t.id().value().equals(id)).findFirst();
    }

    /** Returns whether the target is listed, or kept because it may be listed again. */
    boolean keeps(String id) {
        return directory.knows(new TargetId(id));
    }

    /** Returns whether the target gets new requests. */
    boolean uses(String id) {
        return find(id).filter(t -> !t.isLeaving() && !t.entry().draining()).isPresent();
    }

    void awaitLoaded() {
        EdgeFixture.await("configuration", () -> configurationVersion() > 0);
        EdgeFixture.await("targets", followers::hasTargets);
    }

    /** Waits until the change is in force, however long it takes. */
    void await(LostChange change) {
        EdgeFixture.await(change.name(), () -> change.isInForce(this));
    }

    /** Waits until a change is in force, for as long as a change may take. */
    void awaitInTime(String what, BooleanSupplier condition) {
        awaitWithin(PROPAGATION_DELAY, what, condition);
    }

    void awaitWithin(Duration time, String what, BooleanSupplier condition) {
        Deadline deadline = Deadline.after(time, Ticker.SYSTEM);
        while (!condition.getAsBoolean()) {
            assertFalse(deadline.isExpired(), () -> what + " is not in force: " + log());
            Tasks.sleep(POLL_INTERVAL);
        }
    }

    void assertStays(LostChange change, Duration time) {
        Deadline deadline = Deadline.after(time, Ticker.SYSTEM);
        while (!deadline.isExpired()) {
            assertTrue(change.isInForce(this), () -> change + " is not in force: " + log());
            Tasks.sleep(POLL_INTERVAL);
        }
    }

    /** Waits until the daemon cannot read any more; a frozen one notices nothing. */
    void awaitSuspended(boolean unnoticed) {
        if (unnoticed) {
            Tasks.sleep(PROPAGATION_DELAY.dividedBy(4));
            return;
        }
        EdgeFixture.await("outage", () -> log().contains("store_away"));
    }

    private String log() {
        return logBytes.toString(StandardCharsets.UTF_8);
    }

    /** Returns the number of log lines that contain a text. */
    long logLines(String text) {
        return log().lines().filter(l -> l.contains(text)).count();
    }

    /** Stops the tasks of this reader that do not end with the store. */
    @Override
    public void close() throws IOException {
        housekeeping.interrupt();
        relay.close();
        Files.deleteIfExists(settings);
    }
}
