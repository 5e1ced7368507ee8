package org.godwithoist.bundle.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.PeerTransport;

/** RPCs between daemons in one process, with delay, message loss and partitions. */
final class FakeNetwork {
    final LongAdder bytes = new LongAdder();
    private final Map<HostId, Map<String, RegisteredHandler<?, ?>>> handlers =
            new ConcurrentHashMap<>();
    private final List<Member> members;
    private final Duration oneWayDelay;
    private final Set<HostId> disconnected = ConcurrentHashMap.newKeySet();
    private final Random random;
    private volatile double lossRate;

    private record RegisteredHandler<Q extends MessageLite, R extends MessageLite>(
            PeerTransport.Method<Q, R> method, PeerTransport.Handler<Q, R> handler) {
        byte[] handle(HostId from, byte[] request) {
            try {
                Q q = method.requestParser().parseFrom(request);
                return handler.handle(from, q).toByteArray();
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    FakeNetwork(int size, Duration oneWayDelay, long seed) {
        this.oneWayDelay = oneWayDelay;
        random = new Random(seed);
        members =
                java.util.stream.IntStream.range(0, size)
                        .mapToObj(
                                i ->
                                        new Member(
                                                new HostId("host-" + i),
                                                new FailureDomainId("d1"),
                                                new Endpoint("127.0.0.1", 1 + i),
                                                1))
                        .toList();
        members.forEach(m -> handlers.put(m.host(), new HashMap<>()));
    }

    /** Drops all messages from and to a host until {@link #heal}. */
    void disconnect(HostId host) {
        disconnected.add(host);
    }

    void heal() {
        disconnected.clear();
    }

    void setLossRate(double rate) {
        lossRate = rate;
    }

    private boolean lost(HostId a, HostId b) {
        synchronized (random) {
            return disconnected.contains(a)
                    || disconnected.contains(b)
                    || random.nextDouble() < lossRate;
        }
    }

    List<Member> members() {
        return members;
    }

    PeerTransport transport(HostId self) {
        return new PeerTransport() {
            @Override
            public <Q extends MessageLite, R extends MessageLite> void serve(
                    Method<Q, R> method, Handler<Q, R> handler) {
                handlers.get(self).put(method.name(), new RegisteredHandler<>(method, handler));
            }

            @Override
            public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
                    HostId peer, Method<Q, R> method, Q request, Duration timeout) {
                CompletableFuture<R> future = new CompletableFuture<>();
                Tasks.start("call", () -> deliver(self, peer, method, request, future));
                return future.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
            }
        };
    }

    private <Q extends MessageLite, R extends MessageLite> void deliver(
            HostId from,
            HostId to,
            PeerTransport.Method<Q, R> method,
            Q request,
            CompletableFuture<R> future) {
        try {
            byte[] sent = request.toByteArray();
            bytes.add(sent.length);
            Tasks.sleep(oneWayDelay);
            RegisteredHandler<?, ?> handler = handlers.get(to).get(method.name());
            if (handler == null || lost(from, to)) {
                future.completeExceptionally(new IllegalStateException("lost request to " + to));
                return;
            }
            byte[] response = handler.handle(from, sent);
            bytes.add(response.length);
            Tasks.sleep(oneWayDelay);
            if (lost(from, to)) {
                future.completeExceptionally(new IllegalStateException("lost response of " + to));
                return;
            }
            future.complete(method.responseParser().parseFrom(response));
        } catch (InvalidProtocolBufferException | RuntimeException e) {
            future.completeExceptionally(e);
        }
    }

    MemberDirectory directory(HostId self) {
        return new MemberDirectory() {
            @Override
            public Member self() {
                return find(self).orElseThrow();
            }

            @Override
            public List<Member> members() {
                return members;
            }

            @Override
            public Optional<Member> find(HostId host) {
                return members.stream().filter(m -> m.host().equals(host)).findFirst();
            }

            @Override
            public boolean inContactWithAll() {
                return disconnected.isEmpty();
            }

            @Override
            public boolean inContactWith(HostId host) {
                Set<HostId> pair = new HashSet<>(Set.of(self, host));
                pair.retainAll(disconnected);
                return pair.isEmpty();
            }

            @Override
            public boolean isUnresponsive(HostId host) {
                return false;
            }
        };
    }
}
