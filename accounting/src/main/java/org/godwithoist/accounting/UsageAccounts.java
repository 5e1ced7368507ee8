package org.godwithoist.accounting;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.accounting.Registration.Receipt;
import org.godwithoist.accounting.ReplicaClient.KnownUsage;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;

/**
 * Accounting of one daemon: records the usage of its requests, registers it at a replica, settles
 * it in the store, and settles the usage of failed daemons for which it is the replica.
 * Thread-safe.
 *
 * <p>{@link #open}, {@link #close(RequestId, Usage)}, {@link #cancelUnsent} and {@link #markLost}
 * only change memory and do not block.
 */
public final class UsageAccounts implements UsageRecorder, AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Interval of checks for failed daemons and of queries for the attempts taken over from them.
     */
    private static final Duration TAKEOVER_INTERVAL = Duration.ofSeconds(1);

    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DRAIN_RETRY_DELAY = Duration.ofMillis(50);

    private final MemberDirectory members;
    private final UsageStore store;
    private final ReplicaClient peers;
    private final Ledger ledger;
    private final ChainCopies copies;
    private final Settlement settlement;
    private final Replication replication;
    private final Ticker ticker;
    private final List<Thread> tasks = new ArrayList<>();

    /**
     * Creates the accounts; {@link #start} starts replication and settlement.
     *
     * @param members members of the fleet; host and incarnation of {@code self} identify the chain
     */
    public UsageAccounts(
            MemberDirectory members,
            UsageStore store,
            ReplicaClient peers,
            TargetUsageClient targets,
            Ticker ticker) {
        Member self = members.self();
        this.members = members;
        this.store = store;
        this.peers = peers;
        this.ticker = ticker;
        this.ledger = new Ledger(new ChainId(self.host(), self.incarnation()));
        this.copies = new ChainCopies(ticker);
        this.settlement = new Settlement(self.host(), ledger, copies, store, targets);
        this.replication = new Replication(ledger, members, peers, settlement::ownedChains, ticker);
    }

    // ---- lifecycle

    /** Starts the tasks for replication, settlement and takeover. */
    public synchronized void start() {
        tasks.add(Tasks.start("usage-replica", replication::run));
        tasks.add(Tasks.start("usage-settlement", this::settlePeriodically));
        tasks.add(Tasks.start("usage-takeover", this::takeOverPeriodically));
    }

    /**
     * Settles the counted attempts and hands the others over to the replica. Must be called when no
     * request is in progress. Blocking.
     *
     * @param timeout time after which no further round is started
     * @return whether all attempts are settled or registered at the replica
     */
    public boolean drain(Duration timeout) {
        Deadline deadline = Deadline.after(timeout, ticker);
        boolean handedOver = false;
        do {
            try {
                replication.registerNext(false);
                settleOnce();
                if (ledger.isEmpty() && settlement.ownedChains().isEmpty()) {
                    return true;
                }
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "cannot settle usage during shutdown; handing it over to the replica");
            }
            handedOver = replication.registerNext(true);
        } while (!handedOver && !deadline.isExpired() && Tasks.sleep(DRAIN_RETRY_DELAY));
        return handedOver;
    }

    /** Interrupts the tasks without settling. */
    @Override
    public synchronized void close() {
        tasks.forEach(Thread::interrupt);
        tasks.clear();
    }

    /** Runs one round of settlement of this daemon's attempts. */
    void settleOnce() {
        settlement.queryLostAttempts();
        settlement.flush();
    }

    /** Runs one round of takeovers and of queries for the open attempts of taken-over chains. */
    void takeOverOnce() {
        settlement.takeOver(this::isRestarted, c -> members.isUnresponsive(c.daemon()));
        settlement.settleOwned();
    }

    /** Sends one registration to the replica; returns whether it has accepted all entries. */
    boolean replicateOnce() {
        return replication.registerNext(false);
    }

    private void settlePeriodically() {
        while (Tasks.sleep(FlushInterval.of(members.members().size()))) {
            try {
                settleOnce();
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "cannot settle usage; %d counted attempts are pending until the next round",
                        ledger.countedAttempts());
            }
        }
    }

    private void takeOverPeriodically() {
        while (Tasks.sleep(TAKEOVER_INTERVAL)) {
            try {
                takeOverOnce();
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "cannot take over the usage of failed daemons; retrying in the next round");
            }
        }
    }

    private boolean isRestarted(ChainId chain) {
        Optional<Member> member = members.find(chain.daemon());
        return member.isPresent() && member.get().incarnation() > chain.incarnation();
    }

    // ---- requests

    @Override
    public void open(RequestId attempt, WorkspaceId workspace, TargetId target) {
        ledger.open(new Attempt(attempt, workspace, target));
    }

    @Override
    public void close(RequestId attempt, Usage usage) {
        ledger.close(attempt, usage);
    }

    @Override
    public void cancelUnsent(RequestId attempt) {
        ledger.cancel(attempt);
    }

    @Override
    public void markLost(RequestId attempt) {
        ledger.markLost(attempt);
    }

    // ---- other daemons

    /** Processes a registration of a peer for which this daemon is the replica. */
    public Receipt register(Registration registration) {
        return copies.register(registration);
    }

    /** Returns the unsettled usage in this daemon's ledger, copies and taken-over chains. */
    public KnownUsage knownUsage() {
        Map<ChainId, Map<WorkspaceId, UnsettledUsage>> others = new HashMap<>();
        copies.all()
                .forEach(c -> others.put(c.chain(), Ledger.sumByWorkspace(c.counted(), c.open())));
        settlement
                .ownedAttempts()
                .forEach(
                        (chain, open) -> others.put(chain, Ledger.sumByWorkspace(List.of(), open)));
        return new KnownUsage(ledger.unsettled(), others);
    }

    // ---- report

    /**
     * Returns the usage of the fleet. Expensive, because it reads all current rows and queries all
     * members; intended for operators only.
     *
     * @throws org.godwithoist.store.StoreUnavailableException if the store does not respond
     */
    public UsageOverview overview() {
        Map<WorkspaceId, Usage> settled = new HashMap<>();
        for (ChainRow row : store.all()) {
            row.totals().forEach((w, u) -> settled.merge(w, u, Usage::plus));
        }
        Map<HostId, CompletableFuture<KnownUsage>> pendingResponses = new HashMap<>();
        Member self = members.self();
        for (Member m : members.members()) {
            if (!m.host().equals(self.host())) {
                pendingResponses.put(m.host(), peers.unsettled(m.host(), PEER_TIMEOUT));
            }
        }
        Map<HostId, KnownUsage> responses = new HashMap<>();
        responses.put(self.host(), knownUsage());
        List<HostId> unreachable = new ArrayList<>();
        pendingResponses.forEach(
                (host, response) -> {
                    try {
                        responses.put(host, Await.result(response, PEER_TIMEOUT));
                    } catch (RuntimeException e) {
                        LOG.atFine().withCause(e).log("cannot query unsettled usage from %s", host);
                        unreachable.add(host);
                    }
                });
        return new UsageOverview(settled, unsettled(responses), unreachable);
    }

    /**
     * Adds the usage that each daemon reported of itself and, for each chain whose daemon did not
     * respond, that of one copy.
     */
    private Map<WorkspaceId, UnsettledUsage> unsettled(Map<HostId, KnownUsage> responses) {
        Map<WorkspaceId, UnsettledUsage> sums = new HashMap<>();
        Set<ChainId> copied = new HashSet<>();
        for (KnownUsage known : responses.values()) {
            known.own().forEach((w, u) -> sums.merge(w, u, UnsettledUsage::plus));
            known.held()
                    .forEach(
                            (chain, usages) -> {
                                if (!hasResponded(chain, responses) && copied.add(chain)) {
                                    usages.forEach(
                                            (w, u) -> sums.merge(w, u, UnsettledUsage::plus));
                                }
                            });
        }
        return sums;
    }

    private boolean hasResponded(ChainId chain, Map<HostId, KnownUsage> responses) {
        return responses.containsKey(chain.daemon())
                && members.find(chain.daemon())
                        .map(m -> m.incarnation() <= chain.incarnation())
                        .orElse(false);
    }
}
