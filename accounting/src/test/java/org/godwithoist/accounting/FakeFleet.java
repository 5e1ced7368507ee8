package org.godwithoist.accounting;

import com.google.protobuf.MessageLite;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.godwithoist.accounting.wire.PeerReplicaClient;
import org.godwithoist.accounting.wire.TableUsageStore;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.store.fake.FakeTableStore;

/** Daemons in one process with a fake store, network and target that can inject faults. */
final class FakeFleet {
    static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    static final TargetId TARGET = new TargetId("t");

    final FakeTableStore store = new FakeTableStore();
    final VirtualTicker ticker = new VirtualTicker();
    final Set<HostId> unresponsive = new HashSet<>();
    final Set<HostId> unreachable = new HashSet<>();
    private final Map<HostId, Member> members = new TreeMap<>();
    private final Map<HostId, Transport> transports = new HashMap<>();
    private final Map<RequestId, Usage> counted = new HashMap<>();
    private final Set<RequestId> running = new HashSet<>();
    boolean targetDown;
    boolean responsesLost;
    Duration responseDelay = Duration.ZERO;

    /** Creates a daemon without background tasks; replaces an earlier run of the same name. */
    UsageAccounts daemon(String name, long incarnation) {
        HostId host = new HostId(name);
        Member self =
                new Member(
                        host,
                        new FailureDomainId("fd-" + name),
                        new Endpoint("127.0.0.1", 1),
                        incarnation);
        members.put(host, self);
        Transport transport = new Transport(host);
        transports.put(host, transport);
        PeerReplicaClient peers = new PeerReplicaClient(transport);
        var accounts =
                new UsageAccounts(
                        new Directory(self),
                        new TableUsageStore(store),
                        peers,
                        this::queryTarget,
                        ticker);
        peers.serve(self, accounts);
        return accounts;
    }

    void kill(String name) {
        markUnresponsive(name);
        unreachable.add(new HostId(name));
    }

    /** Makes the other members report a daemon as unresponsive for the removal time. */
    void markUnresponsive(String name) {
        unresponsive.add(new HostId(name));
        ticker.advance(Duration.ofSeconds(15));
    }

    // ---- target

    /** Makes the target complete an attempt and count its usage. */
    Usage completeAttempt(RequestId id, long tokens) {
        Usage usage = new Usage(1, tokens, 0, 2 * tokens);
        counted.put(id, usage);
        running.remove(id);
        return usage;
    }

    void startRunning(RequestId id) {
        running.add(id);
    }

    void endWithoutCount(RequestId id) {
        running.remove(id);
    }

    Usage targetTotal() {
        return counted.values().stream().reduce(Usage.NONE, Usage::plus);
    }

    Usage settledTotal() {
        return new TableUsageStore(store)
                .all().stream()
                        .flatMap(r -> r.totals().values().stream())
                        .reduce(Usage.NONE, Usage::plus);
    }

    private CompletableFuture<Map<RequestId, TargetUsage>> queryTarget(
            TargetId target, List<RequestId> ids) {
        if (targetDown) {
            return CompletableFuture.failedFuture(new IllegalStateException("target is down"));
        }
        Map<RequestId, TargetUsage> responses = new HashMap<>();
        for (RequestId id : ids) {
            Usage usage = counted.getOrDefault(id, Usage.NONE);
            TargetUsage.State state =
                    running.contains(id)
                            ? TargetUsage.State.RUNNING
                            : counted.containsKey(id)
                                    ? TargetUsage.State.ENDED
                                    : TargetUsage.State.NOT_RUN;
            responses.put(id, new TargetUsage(state, usage));
        }
        return CompletableFuture.completedFuture(responses);
    }

    // ---- network and members

    private final class Transport implements PeerTransport {
        private final HostId self;
        private final Map<String, Handler<MessageLite, MessageLite>> handlers = new HashMap<>();

        Transport(HostId self) {
            this.self = self;
        }

        @Override
        @SuppressWarnings("unchecked")
        public <Q extends MessageLite, R extends MessageLite> void serve(
                Method<Q, R> method, Handler<Q, R> handler) {
            handlers.put(
                    method.name(), (Handler<MessageLite, MessageLite>) (Handler<?, ?>) handler);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
                HostId peer, Method<Q, R> method, Q request, Duration timeout) {
            if (unreachable.contains(peer) || unreachable.contains(self)) {
                return CompletableFuture.failedFuture(new IllegalStateException("no contact"));
            }
            R response = (R) transports.get(peer).handlers.get(method.name()).handle(self, request);
            if (responsesLost) {
                return CompletableFuture.failedFuture(new IllegalStateException("response lost"));
            }
            if (responseDelay.isZero()) {
                return CompletableFuture.completedFuture(response);
            }
            return new CompletableFuture<R>()
                    .completeOnTimeout(response, responseDelay.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private final class Directory implements MemberDirectory {
        private final Member self;

        Directory(Member self) {
            this.self = self;
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return new ArrayList<>(members.values());
        }

        @Override
        public Optional<Member> find(HostId host) {
            return Optional.ofNullable(members.get(host));
        }

        @Override
        public boolean inContactWithAll() {
            return unreachable.isEmpty();
        }

        @Override
        public boolean inContactWith(HostId host) {
            return !unreachable.contains(host) && !unreachable.contains(self.host());
        }

        @Override
        public boolean isUnresponsive(HostId host) {
            return unresponsive.contains(host);
        }
    }
}
