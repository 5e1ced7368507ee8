package org.godwithoist.accounting;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;

/**
 * Registers the changes of the ledger at the replica. Requests never wait for the replica: they add
 * entries to the ledger, and the replication task sends the accumulated entries in batches.
 */
final class Replication {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Interval of registrations without entries, which verify that the replica has its copy. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** A replica that does not respond for this time is replaced. */
    private static final Duration REPLICA_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum number of entries per message; at 200 bytes each, about 100 KB. */
    private static final int MAX_ENTRIES_PER_MESSAGE = 512;

    private final Ledger ledger;
    private final MemberDirectory members;
    private final ReplicaClient client;
    private final Supplier<List<ChainId>> owned;
    private final Ticker ticker;
    private long lastResponseNanos;

    Replication(
            Ledger ledger,
            MemberDirectory members,
            ReplicaClient client,
            Supplier<List<ChainId>> owned,
            Ticker ticker) {
        this.ledger = ledger;
        this.members = members;
        this.client = client;
        this.owned = owned;
        this.ticker = ticker;
    }

    /** Registers entries until the thread is interrupted. */
    void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                ledger.awaitEntries(HEARTBEAT_INTERVAL);
                registerNext(false);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log("cannot register usage at the replica; retrying");
            }
        }
    }

    /**
     * Sends one registration; assigns a replica if there is none or the current one fails.
     *
     * @param handOver whether the replica must settle the remaining attempts
     * @return whether the replica has accepted all entries
     */
    synchronized boolean registerNext(boolean handOver) {
        Optional<HostId> replica = ledger.replica();
        if (replica.isEmpty()) {
            replica = chooseReplica(Optional.empty());
            if (replica.isEmpty()) {
                return false;
            }
            assign(replica);
        }
        Registration r = ledger.nextRegistration(MAX_ENTRIES_PER_MESSAGE, handOver, owned.get());
        try {
            var receipt =
                    Await.result(
                            client.register(replica.get(), r, RESPONSE_TIMEOUT), RESPONSE_TIMEOUT);
            lastResponseNanos = ticker.nanos();
            if (!ledger.acknowledge(r.epoch(), receipt)) {
                assign(chooseReplica(Optional.empty()));
            }
            return r.entries().size() < MAX_ENTRIES_PER_MESSAGE && receipt.accepted();
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log(
                    "replica %s did not respond to a registration; retrying", replica.get());
            if (ticker.nanos() - lastResponseNanos >= REPLICA_TIMEOUT.toNanos()) {
                assign(chooseReplica(replica));
            }
            return false;
        }
    }

    private void assign(Optional<HostId> replica) {
        lastResponseNanos = ticker.nanos();
        ledger.assignReplica(replica);
    }

    /** Prefers another failure domain, so that one failure does not destroy both copies. */
    private Optional<HostId> chooseReplica(Optional<HostId> excluded) {
        Member self = members.self();
        return members.members().stream()
                .filter(m -> !m.host().equals(self.host()))
                .filter(m -> excluded.isEmpty() || !m.host().equals(excluded.get()))
                .filter(m -> members.inContactWith(m.host()))
                .min(
                        Comparator.comparing(
                                        (Member m) ->
                                                m.failureDomain().equals(self.failureDomain()))
                                .thenComparingInt(m -> rendezvousHash(self.host(), m.host())))
                .map(Member::host);
    }

    /**
     * Rendezvous hash that distributes daemons over replicas and keeps the choice stable. The bits
     * are mixed with the first steps of the MurmurHash3 finalizer, because hash codes of similar
     * names differ in few bits.
     */
    private static int rendezvousHash(HostId self, HostId peer) {
        int h = (self.value() + "\n" + peer.value()).hashCode();
        h ^= h >>> 16;
        h *= 0x85ebca6b;
        return h ^ (h >>> 13);
    }
}
