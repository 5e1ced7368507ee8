package org.godwithoist.bundle.wire;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.ReentrantLock;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.HeadPush;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.Revision;
import org.godwithoist.bundle.Verdict;
import org.godwithoist.bundle.store.BundleTables;
import org.godwithoist.bundle.store.BundleTables.Versioned;
import org.godwithoist.bundle.store.ObjectSource;
import org.godwithoist.bundle.store.RevisionStore;
import org.godwithoist.bundle.wire.generated.HeadRequest;
import org.godwithoist.bundle.wire.generated.HeadResponse;
import org.godwithoist.bundle.wire.generated.PartsRequest;
import org.godwithoist.bundle.wire.generated.PartsResponse;
import org.godwithoist.bundle.wire.generated.PushRequest;
import org.godwithoist.bundle.wire.generated.PushResponse;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.PeerTransport;

/**
 * Distributes heads and parts between daemons. One task polls the head row; one task per peer
 * exchanges heads with it. Heads from all sources are validated by {@link HeadState}, so the order
 * of messages does not matter. Thread-safe.
 */
public final class BundleDistributor implements HeadPush, AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration HEAD_POLL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PARTS_TIMEOUT = Duration.ofSeconds(1);

    /** Gives a peer time to fetch changed parts within the guaranteed propagation time of 5 s. */
    private static final Duration PUSH_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration MEMBER_POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration MIN_EXCHANGE_INTERVAL = Duration.ofSeconds(2);

    /**
     * Exchange interval per peer. Limits a daemon to 10 exchanges per second for any number of
     * peers, which keeps the control traffic within its budget at 940 daemons.
     */
    private static final Duration EXCHANGE_INTERVAL_PER_PEER = Duration.ofMillis(100);

    /**
     * Number of peers that are asked for parts after the sender of the head and before the object
     * store.
     */
    private static final int MAX_OTHER_PEERS = 2;

    /** Maximum size of the parts in one response; below the message limit of gRPC, 4 MiB. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final HeadState state;
    private final RevisionStore revisions;
    private final BundleTables tables;
    private final MemberDirectory members;
    private final PeerTransport transport;
    private final ReentrantLock loadLock = new ReentrantLock();
    private final Map<HostId, Thread> peerTasks = new ConcurrentHashMap<>();
    private final Set<HostId> contactedPeers = ConcurrentHashMap.newKeySet();
    private final List<Thread> tasks = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean storeRead;
    private volatile boolean closed;
    private long lastHeadRowVersion = -1;

    /** Creates a distributor; {@link #register} and {@link #start} activate it. */
    public BundleDistributor(
            HeadState state,
            RevisionStore revisions,
            BundleTables tables,
            MemberDirectory members,
            PeerTransport transport) {
        this.state = state;
        this.revisions = revisions;
        this.tables = tables;
        this.members = members;
        this.transport = transport;
    }

    // ---- lifecycle

    /** Registers the RPC handlers; must be called before the transport listens. */
    public void register() {
        transport.serve(BundleMessages.PUSH, this::onPush);
        transport.serve(BundleMessages.EXCHANGE, this::onExchange);
        transport.serve(BundleMessages.PARTS, this::onParts);
    }

    /** Starts the tasks; the transport must be able to send. */
    public void start() {
        tasks.add(Tasks.start("bundle-store", this::pollHeadRow));
        tasks.add(Tasks.start("bundle-members", this::updatePeerTasks));
    }

    /**
     * Returns whether this daemon may serve: it has a head, and it has either read the head row or,
     * for example during a store outage, attempted an exchange with every peer. In the second case
     * its head is the highest one of all peers that responded.
     */
    public boolean ready() {
        return state.inForce().isPresent() && (storeRead || allPeersContacted());
    }

    /** Stops the tasks; the RPC handlers continue to respond. */
    @Override
    public void close() {
        closed = true;
        tasks.forEach(Thread::interrupt);
        peerTasks.values().forEach(Thread::interrupt);
    }

    private boolean allPeersContacted() {
        return peers().stream().allMatch(contactedPeers::contains);
    }

    private List<HostId> peers() {
        HostId self = members.self().host();
        return members.members().stream().map(Member::host).filter(h -> !h.equals(self)).toList();
    }

    // ---- store

    private void pollHeadRow() {
        do {
            try {
                readHead();
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "cannot read the bundle head from the table service; retrying");
            }
        } while (!closed && Tasks.sleep(HEAD_POLL_INTERVAL));
    }

    /** Reads the head row once and adopts the head if it is newer. */
    void readHead() {
        Versioned<Optional<Head>> row = tables.head();
        if (row.version() != lastHeadRowVersion && row.value().isPresent()) {
            Verdict verdict = adoptIfNewer(row.value().get(), Optional.empty());
            LOG.atInfo().log(
                    "bundle head of revision %d in the store is %s",
                    row.value().get().revision(), verdict);
        }
        // Set after the adoption, so that a head whose parts could not be loaded is retried.
        lastHeadRowVersion = row.version();
        storeRead = true;
    }

    // ---- peers

    private void updatePeerTasks() {
        do {
            Set<HostId> present = new HashSet<>(peers());
            for (HostId removed : Set.copyOf(peerTasks.keySet())) {
                if (!present.contains(removed)) {
                    peerTasks.remove(removed).interrupt();
                    contactedPeers.remove(removed);
                }
            }
            for (HostId peer : present) {
                peerTasks.computeIfAbsent(
                        peer, p -> Tasks.start("bundle-peer-" + p, () -> exchangePeriodically(p)));
            }
        } while (!closed && Tasks.sleep(MEMBER_POLL_INTERVAL));
    }

    private void exchangePeriodically(HostId peer) {
        do {
            try {
                exchange(peer);
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "exchange of bundle heads with %s failed; retrying", peer);
            }
            contactedPeers.add(peer);
        } while (!closed && Tasks.sleep(exchangeInterval()));
    }

    private Duration exchangeInterval() {
        Duration scaled = EXCHANGE_INTERVAL_PER_PEER.multipliedBy(peerTasks.size());
        long millis = Math.max(scaled.toMillis(), MIN_EXCHANGE_INTERVAL.toMillis());
        // Jitter over half an interval, so that daemons started together do not synchronize.
        return Duration.ofMillis(
                ThreadLocalRandom.current().nextLong(millis * 3 / 4, millis * 5 / 4));
    }

    /** Compares heads with a peer once and transfers the higher one in either direction. */
    void exchange(HostId peer) {
        HeadRequest request = HeadRequest.newBuilder().setRevision(state.revisionNumber()).build();
        HeadResponse response =
                Await.result(
                        transport.call(peer, BundleMessages.EXCHANGE, request, EXCHANGE_TIMEOUT),
                        EXCHANGE_TIMEOUT);
        if (response.hasHead()) {
            adoptIfNewer(BundleMessages.decode(response.getHead()), Optional.of(peer));
            return;
        }
        Optional<Head> own = state.inForce().map(HeadState.InForce::head);
        if (own.isPresent() && own.get().revision() > response.getRevision()) {
            Await.result(pushTo(peer, own.get()), PUSH_TIMEOUT);
        }
    }

    private CompletableFuture<PushResponse> pushTo(HostId peer, Head head) {
        PushRequest request = PushRequest.newBuilder().setHead(BundleMessages.encode(head)).build();
        return transport.call(peer, BundleMessages.PUSH, request, PUSH_TIMEOUT);
    }

    @Override
    public Report push(Head head) {
        try {
            adoptIfNewer(head, Optional.empty());
        } catch (RuntimeException e) {
            // The head is already written to the store, so the peers must receive it anyway.
            LOG.atSevere().withCause(e).log(
                    "cannot adopt the rolled bundle head at this daemon; sending it to the peers");
        }
        HostId self = members.self().host();
        List<HostId> acknowledged = new ArrayList<>();
        List<HostId> unacknowledged = new ArrayList<>();
        List<HostId> outOfContact = new ArrayList<>();
        (state.revisionNumber() >= head.revision() ? acknowledged : unacknowledged).add(self);
        Map<HostId, CompletableFuture<PushResponse>> responses = new LinkedHashMap<>();
        for (HostId peer : peers()) {
            if (members.inContactWith(peer)) {
                responses.put(peer, pushTo(peer, head));
            } else {
                outOfContact.add(peer);
            }
        }
        responses.forEach(
                (peer, response) ->
                        (acknowledges(response, head) ? acknowledged : unacknowledged).add(peer));
        return new Report(acknowledged, unacknowledged, outOfContact);
    }

    private static boolean acknowledges(CompletableFuture<PushResponse> response, Head head) {
        try {
            return Await.result(response, PUSH_TIMEOUT).getRevision() >= head.revision();
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log(
                    "a peer did not acknowledge the bundle head of revision %d", head.revision());
            return false;
        }
    }

    // ---- handlers

    private PushResponse onPush(HostId from, PushRequest request) {
        try {
            adoptIfNewer(BundleMessages.decode(request.getHead()), Optional.of(from));
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log("cannot adopt the bundle head that %s pushed", from);
        }
        return PushResponse.newBuilder().setRevision(state.revisionNumber()).build();
    }

    private HeadResponse onExchange(HostId from, HeadRequest request) {
        HeadResponse.Builder response = HeadResponse.newBuilder();
        state.inForce()
                .ifPresent(
                        f -> {
                            response.setRevision(f.head().revision());
                            if (f.head().revision() > request.getRevision()) {
                                response.setHead(BundleMessages.encode(f.head()));
                            }
                        });
        return response.build();
    }

    private PartsResponse onParts(HostId from, PartsRequest request) {
        PartsResponse.Builder response = PartsResponse.newBuilder();
        int bytes = 0;
        for (ByteString hash : request.getHashList()) {
            Optional<byte[]> content = revisions.findCached(BundleMessages.decode(hash));
            if (content.isEmpty()) {
                continue;
            }
            bytes += content.get().length;
            if (bytes > MAX_RESPONSE_BYTES && response.getContentCount() > 0) {
                break;
            }
            response.addContent(ByteString.copyFrom(content.get()));
        }
        return response.build();
    }

    // ---- adoption of heads

    /**
     * Adopts a head if it is newer and valid and its parts can be loaded.
     *
     * @param from peer that sent the head and therefore has its parts; empty if it was read from
     *     the store or rolled at this daemon
     */
    private Verdict adoptIfNewer(Head head, Optional<HostId> from) {
        Verdict first = state.evaluate(head);
        if (!first.adoptable()) {
            return first;
        }
        // Serializes loads, so that the same head from several peers is fetched only once.
        loadLock.lock();
        try {
            Verdict verdict = state.evaluate(head);
            if (!verdict.adoptable()) {
                return verdict;
            }
            Revision revision = revisions.load(head.manifest(), sources(from));
            return state.adopt(head, revision);
        } finally {
            loadLock.unlock();
        }
    }

    private List<ObjectSource> sources(Optional<HostId> from) {
        List<ObjectSource> list = new ArrayList<>();
        from.ifPresent(p -> list.add(wanted -> fetch(p, wanted)));
        List<HostId> others = new ArrayList<>(peers());
        Collections.shuffle(others, ThreadLocalRandom.current());
        others.stream()
                .filter(p -> !from.equals(Optional.of(p)) && members.inContactWith(p))
                .limit(MAX_OTHER_PEERS)
                .forEach(p -> list.add(wanted -> fetch(p, wanted)));
        list.add(revisions.objectStoreSource());
        return list;
    }

    private Map<ContentHash, byte[]> fetch(HostId peer, Set<ContentHash> wanted) {
        Map<ContentHash, byte[]> found = new HashMap<>();
        Set<ContentHash> missing = new HashSet<>(wanted);
        while (!missing.isEmpty()) {
            PartsRequest.Builder request = PartsRequest.newBuilder();
            missing.forEach(h -> request.addHash(BundleMessages.encode(h)));
            PartsResponse response =
                    Await.result(
                            transport.call(
                                    peer, BundleMessages.PARTS, request.build(), PARTS_TIMEOUT),
                            PARTS_TIMEOUT);
            int before = missing.size();
            for (ByteString content : response.getContentList()) {
                byte[] bytes = content.toByteArray();
                ContentHash hash = ContentHash.of(bytes);
                if (missing.remove(hash)) {
                    found.put(hash, bytes);
                }
            }
            if (missing.size() == before) {
                break;
            }
        }
        return found;
    }
}
