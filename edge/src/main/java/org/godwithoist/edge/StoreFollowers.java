package org.godwithoist.edge;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.Catalog;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.platform.OperatorRows;
import org.godwithoist.platform.OrderRows;
import org.godwithoist.platform.RunnerRows;
import org.godwithoist.platform.StoreCalls;
import org.godwithoist.platform.StoreTable;
import org.godwithoist.relay.CatchUp;
import org.godwithoist.relay.Cooldown;
import org.godwithoist.relay.Leadership;
import org.godwithoist.relay.RecentChanges;
import org.godwithoist.relay.RelayTiming;
import org.godwithoist.relay.RelayedFeed;
import org.godwithoist.relay.TableName;
import org.godwithoist.relay.wire.RelayConnection;
import org.godwithoist.relay.wire.RelayServer;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.store.feed.TableFollower;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;

/**
 * Follows the operator's table and the table of targets, at the store or at a leader, and relays
 * their changes to the members that this daemon leads. Thread-safe.
 */
final class StoreFollowers {
    /**
     * Maximum wait for changes of the operator's table. The recovery of an unresponsive store is
     * noticed within this time plus one second.
     */
    private static final Duration OPERATOR_MAX_WAIT = Duration.ofMillis(1500);

    /** Time after the longest wait within which the store responds. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(500);

    private static final Duration TARGETS_MAX_WAIT = Duration.ofSeconds(10);

    private static final TableName OPERATOR = new TableName("operator");
    private static final TableName TARGETS = new TableName("targets");

    /**
     * Dependencies of the followers.
     *
     * @param applyCatalog receives each catalog that was read
     * @param rollout receives orders and targets; empty if no versions are rolled out
     * @param onTargets receives all targets before a change of them applies
     * @param onTableRead called after a complete table was read
     * @param onStoreRegained called when the store responds again after an outage
     * @param eras eras of the store, shared by all tables of this daemon
     * @param calls counts the requests to the store
     */
    record Dependencies(
            SettingsFile settingsFile,
            CatalogState catalogs,
            TargetDirectory directory,
            Consumer<Catalog> applyCatalog,
            Optional<VersionRollout> rollout,
            Consumer<Collection<TargetEntry>> onTargets,
            Runnable onTableRead,
            Runnable onStoreRegained,
            StoreEras eras,
            StoreCalls calls,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {}

    private final Dependencies dependencies;
    private final FeedLog operatorFeed;
    private final FeedLog targetFeed;
    private final Cooldown storeCooldown;
    private final RecentChanges operatorChanges;
    private final RecentChanges targetChanges;
    private final OrderRows orders;
    private volatile TableFollower targetFollower;

    /** Creates followers that have not been started. */
    StoreFollowers(Dependencies dependencies) {
        this.dependencies = dependencies;
        EventLog log = dependencies.log();
        operatorFeed =
                new FeedLog(
                        log,
                        "operator",
                        dependencies.onTableRead(),
                        this::refreshTargets,
                        dependencies.ticker());
        targetFeed =
                new FeedLog(
                        log,
                        "targets",
                        dependencies.onTableRead(),
                        () -> {},
                        dependencies.ticker());
        orders =
                dependencies
                        .rollout()
                        .map(r -> new OrderRows(this::isKnown, r::setOrders, operatorFeed))
                        .orElseGet(() -> OrderRows.ignored(operatorFeed));
        storeCooldown = new Cooldown(dependencies.ticker());
        operatorChanges = new RecentChanges(dependencies.ticker());
        targetChanges = new RecentChanges(dependencies.ticker());
    }

    /** Returns whether the targets were read at least once. */
    boolean hasTargets() {
        return targetFeed.isLoaded();
    }

    /**
     * Returns whether the store has responded lately. The operator's table shows it, since its
     * requests wait for a short time only; the one for the targets may wait unnoticed on a link
     * that is down.
     */
    boolean hasStoreContact() {
        return operatorFeed.hasRespondedWithin(OPERATOR_MAX_WAIT.plus(RESPONSE_MARGIN));
    }

    /** Returns the number of orders to roll out a version that could not be used. */
    long rejectedOrders() {
        return orders.rejectedRows();
    }

    private boolean isKnown(ServiceId service) {
        return dependencies.catalogs().current().flatMap(c -> c.service(service)).isPresent();
    }

    /** Returns a server of the changes for the members that this daemon leads. */
    RelayServer relayServer() {
        return new RelayServer(
                Map.of(OPERATOR, operatorChanges, TARGETS, targetChanges),
                this::relayTiming,
                dependencies.log(),
                dependencies.ticker());
    }

    /** Starts a task for each table. */
    void start(Leadership leadership, Supervisor supervisor) {
        Endpoint store = dependencies.settingsFile().current().store();
        Ticker ticker = dependencies.ticker();
        RelayedFeed targetRows =
                relayedFeed(
                        TARGETS,
                        CatchUp.MISSED_CHANGES,
                        StoreTable.runners(
                                store, dependencies.eras(), dependencies.calls(), ticker),
                        targetChanges,
                        leadership);
        RelayedFeed operatorRows =
                relayedFeed(
                        OPERATOR,
                        CatchUp.CURRENT_ROWS,
                        StoreTable.operator(
                                store, dependencies.eras(), dependencies.calls(), ticker),
                        operatorChanges,
                        leadership);
        targetFollower =
                new TableFollower(
                        targetRows,
                        new RunnerRows(dependencies.directory(), targetFeed, this::announceTargets),
                        new TableFollower.Timing(
                                TARGETS_MAX_WAIT, targetRows::pollDelay, this::restoreSpread),
                        dependencies.random());
        TableFollower operatorFollower =
                new TableFollower(
                        operatorRows,
                        new OperatorRows(
                                dependencies.applyCatalog(),
                                dependencies.catalogs()::outOfService,
                                orders,
                                operatorFeed,
                                this::rewriteTime,
                                ticker),
                        new TableFollower.Timing(
                                OPERATOR_MAX_WAIT, operatorRows::pollDelay, this::restoreSpread),
                        dependencies.random());
        operatorFollower.start("follow-operator", supervisor);
        targetFollower.start("follow-targets", supervisor);
    }

    private void announceTargets(Collection<TargetEntry> entries) {
        dependencies.rollout().ifPresent(r -> r.setTargets(entries));
        dependencies.onTargets().accept(entries);
    }

    private RelayedFeed relayedFeed(
            TableName table,
            CatchUp catchUp,
            StoreTable store,
            RecentChanges recent,
            Leadership leadership) {
        return new RelayedFeed(
                new RelayedFeed.Dependencies(
                        table,
                        catchUp,
                        store,
                        recent,
                        new RelayConnection(dependencies.ticker()),
                        storeCooldown,
                        leadership,
                        dependencies.eras(),
                        this::relayTiming,
                        dependencies.log(),
                        dependencies.ticker()));
    }

    private RelayTiming relayTiming() {
        return new RelayTiming(
                dependencies.settingsFile().current().bounds().maxPropagationDelay());
    }

    /** Returns the maximum random delay of the snapshot of a restored store. */
    private Duration restoreSpread() {
        return relayTiming().leaderPollDelay(Optional.empty());
    }

    /** Returns the time within which lost rows of the operator are written again and received. */
    private Duration rewriteTime() {
        return relayTiming().maxPropagationDelay().multipliedBy(2);
    }

    /**
     * Restarts the request for the targets. Called when the operator's table is available again,
     * because the same outage may have lost the request for the targets without an error.
     */
    private void refreshTargets() {
        dependencies.onStoreRegained().run();
        targetFollower.restartRequest();
    }
}
