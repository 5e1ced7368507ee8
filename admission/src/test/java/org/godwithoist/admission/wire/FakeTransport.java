package org.godwithoist.admission.wire;

import com.google.protobuf.MessageLite;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.membership.PeerTransport;

/** In-process transport with injectable delay, loss, partitions and pauses of hosts. */
final class FakeTransport {
    volatile Duration delay = Duration.ZERO;
    final Set<Set<HostId>> partitions = ConcurrentHashMap.newKeySet();
    final Map<HostId, CountDownLatch> paused = new ConcurrentHashMap<>();
    final AtomicInteger exchanges = new AtomicInteger();
    final AtomicInteger lostMessages = new AtomicInteger();
    private final Map<HostId, Map<String, RegisteredMethod<?, ?>>> methodsByHost =
            new ConcurrentHashMap<>();

    private record RegisteredMethod<Q extends MessageLite, R extends MessageLite>(
            PeerTransport.Method<Q, R> method, PeerTransport.Handler<Q, R> handler) {
        byte[] handle(HostId from, byte[] request) throws Exception {
            Q q = method.requestParser().parseFrom(request);
            return handler.handle(from, q).toByteArray();
        }
    }

    /** Blocks all messages to a host until it is resumed. */
    void pause(HostId host) {
        paused.put(host, new CountDownLatch(1));
    }

    void resume(HostId host) {
        paused.remove(host).countDown();
    }

    PeerTransport transportOf(HostId self) {
        Map<String, RegisteredMethod<?, ?>> ownMethods = new HashMap<>();
        methodsByHost.put(self, ownMethods);
        return new PeerTransport() {
            @Override
            public <Q extends MessageLite, R extends MessageLite> void serve(
                    Method<Q, R> method, Handler<Q, R> handler) {
                ownMethods.put(method.name(), new RegisteredMethod<>(method, handler));
            }

            @Override
            public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
                    HostId peer, Method<Q, R> method, Q request, Duration timeout) {
                CompletableFuture<R> result = new CompletableFuture<>();
                Tasks.start("call", () -> deliver(self, peer, method, request, result));
                return result.orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
            }
        };
    }

    private <Q extends MessageLite, R extends MessageLite> void deliver(
            HostId from,
            HostId to,
            PeerTransport.Method<Q, R> method,
            Q request,
            CompletableFuture<R> result) {
        try {
            if (method.name().equals("Exchange")) {
                exchanges.incrementAndGet();
            }
            boolean lost = lostMessages.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
            if (lost || partitions.contains(Set.of(from, to)) || !methodsByHost.containsKey(to)) {
                return;
            }
            Tasks.sleep(delay);
            CountDownLatch pause = paused.get(to);
            if (pause != null) {
                pause.await();
            }
            byte[] response =
                    methodsByHost.get(to).get(method.name()).handle(from, request.toByteArray());
            Tasks.sleep(delay);
            result.complete(method.responseParser().parseFrom(response));
        } catch (Exception e) {
            result.completeExceptionally(e);
        }
    }
}
