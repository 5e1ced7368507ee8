package org.godwithoist.chat;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.retry.RetryBudget;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.membership.Target;
import org.godwithoist.routing.Placement;

/**
 * Serves chat requests from admission to the last token. Each request runs in the task of its
 * caller's connection. Thread-safe.
 */
public final class ChatService {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Engines queried concurrently for a request whose engine is not known. */
    private static final int QUERY_CONCURRENCY = 32;

    /**
     * Engines list a new attempt among their running requests only after a few hundred
     * milliseconds, so they are queried several times.
     */
    private static final int LOCATE_ROUNDS = 3;

    private static final Duration LOCATE_INTERVAL = Duration.ofMillis(400);

    private final ChatContext context;
    private final SharedRequestState shared;
    private final WorkspaceLimiter limiter = new WorkspaceLimiter();
    private final Map<Key, ChatResponse> responses = new ConcurrentHashMap<>();
    private volatile boolean draining;

    /** Identifies a request; callers choose request ids, so two workspaces may use the same one. */
    private record Key(WorkspaceId workspace, RequestId request) {}

    /** An attempt and the engine that runs it. */
    private record LocatedAttempt(Target engine, AttemptId attempt) {}

    /** Creates the service; it starts no tasks until a request is served. */
    public ChatService(ChatContext context) {
        this.context = context;
        shared =
                new SharedRequestState(
                        new RetryBudget(context.ticker(), RetryBudget.Floor.BURST),
                        new AtomicInteger());
    }

    /**
     * Serves a request and sends the response to the sink. Returns when the response has ended or
     * the caller has disconnected for good.
     *
     * @throws RequestException if the request fails; its run state is {@code NOT_RUN} only if it is
     *     certain that no engine ran the request. Nothing is thrown once the response has ended.
     */
    public void serve(ChatRequest request, ResponseSink sink) {
        Bundle bundle = context.bundle().get();
        Pool pool =
                bundle.poolOf(request.model())
                        .filter(p -> p.kind() == Pool.Kind.ENGINE)
                        .orElseThrow(
                                () ->
                                        RequestException.notRun(
                                                ErrorCode.NOT_FOUND,
                                                "there is no model " + request.model()));
        if (request.resumeAfter().isPresent()) {
            resume(request, pool, sink, request.resumeAfter().get());
            return;
        }
        if (draining) {
            throw RequestException.notRun(ErrorCode.NOT_READY, "this daemon is shutting down")
                    .withRetryAfter(RETRY_AFTER);
        }
        Workspace workspace = bundle.workspaces().get(request.workspace());
        if (workspace == null) {
            throw RequestException.notRun(
                    ErrorCode.UNAUTHENTICATED, "there is no workspace " + request.workspace());
        }
        limiter.acquire(workspace);
        try {
            start(request, pool, sink);
        } finally {
            limiter.release(workspace.id());
        }
    }

    /**
     * Rejects new requests from now on; reconnecting callers still get the rest of their responses.
     */
    public void drain() {
        draining = true;
    }

    /**
     * Returns the number of requests in progress plus that of lost attempts that are not settled
     * yet.
     */
    public int inProgress() {
        return shared.inProgress().get();
    }

    /**
     * Waits until nothing is in progress; returns false if the time runs out or the calling task is
     * interrupted first.
     */
    public boolean awaitIdle(Duration timeout) {
        Deadline deadline = Deadline.after(timeout, context.ticker());
        while (inProgress() > 0) {
            if (deadline.isExpired() || !Tasks.sleep(DRAIN_POLL_INTERVAL)) {
                return false;
            }
        }
        return true;
    }

    private void start(ChatRequest request, Pool pool, ResponseSink sink) {
        if (request.deadline().isExpired()) {
            throw RequestException.notRun(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "the deadline passed before the request was started");
        }
        ChatResponse response = new ChatResponse(sink, 0, 0, context.ticker());
        ChatResponse previous = register(request, response);
        shared.budget().recordRequest();
        Optional<Placement> placement = context.placements().lookup(request.chat());
        AttemptId id = firstAttemptId(request, Optional.ofNullable(previous), placement);
        RequestExecution run =
                new RequestExecution(context, shared, request, pool, response, placement, id);
        runOwned(request, response, run::serve);
    }

    /** Registers a response and returns the finished one that had the same request id, or null. */
    private ChatResponse register(ChatRequest request, ChatResponse response) {
        while (true) {
            ChatResponse previous = responses.putIfAbsent(key(request), response);
            if (previous == null) {
                return null;
            }
            if (!previous.isFinished()) {
                throw RequestException.notRun(
                        ErrorCode.CONFLICT,
                        "a request with this id is in progress; send Last-Event-ID to get its"
                                + " response");
            }
            if (responses.replace(key(request), previous, response)) {
                return previous;
            }
        }
    }

    /**
     * Returns the id of the first attempt. If the caller reuses a request id, it follows the
     * earlier attempts, so that their usage is not overwritten at the engine or in the accounts.
     */
    private static AttemptId firstAttemptId(
            ChatRequest request, Optional<ChatResponse> previous, Optional<Placement> placement) {
        AttemptId first = AttemptId.first(request);
        return previous.flatMap(ChatResponse::latestAttempt)
                .or(
                        () ->
                                placement
                                        .flatMap(Placement::run)
                                        .flatMap(r -> first.parseIfSameRequest(r.attempt())))
                .map(a -> a.next(0))
                .orElse(first);
    }

    /**
     * Runs a request that this daemon owns. A complete response is retained for a caller that
     * reconnects; a failed one is discarded.
     */
    private void runOwned(ChatRequest request, ChatResponse response, Runnable execution) {
        shared.inProgress().incrementAndGet();
        try {
            execution.run();
            observe(request, response, Optional.empty());
            retainForReconnect(request, response);
        } catch (RequestException e) {
            discard(request, response, e);
            throw e;
        } catch (RuntimeException e) {
            var failure =
                    RequestException.unknown(ErrorCode.INTERNAL, "internal error of the daemon")
                            .withCause(e);
            discard(request, response, failure);
            throw failure;
        } finally {
            shared.inProgress().decrementAndGet();
        }
    }

    private void discard(ChatRequest request, ChatResponse response, RequestException failure) {
        responses.remove(key(request), response);
        response.fail(failure);
        observe(request, response, Optional.of(failure.code()));
    }

    /** Reports the end of a request; a failure of the observer must not affect the response. */
    private void observe(ChatRequest request, ChatResponse response, Optional<ErrorCode> failure) {
        try {
            context.observer().ended(request, response.outcome(failure));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log(
                    "cannot report the outcome of request %s to its observer", request.id());
        }
    }

    private void retainForReconnect(ChatRequest request, ChatResponse response) {
        if (draining) {
            responses.remove(key(request), response);
            return;
        }
        Tasks.start(
                "forget-" + request.id(),
                () -> {
                    Tasks.sleep(context.timings().reconnectTimeout());
                    responses.remove(key(request), response);
                });
    }

    private static Key key(ChatRequest request) {
        return new Key(request.workspace(), request.id());
    }

    // ---- reconnecting callers

    private void resume(ChatRequest request, Pool pool, ResponseSink sink, long afterOffset) {
        ChatResponse local = responses.get(key(request));
        if (local != null) {
            attach(local, request, sink, afterOffset);
            return;
        }
        Optional<Placement> placement = context.placements().lookup(request.chat());
        LocatedAttempt found =
                locate(request, pool, placement)
                        .orElseThrow(() -> responseNotAvailable(afterOffset));
        if (afterOffset < found.attempt().baseOffset()) {
            throw responseNotAvailable(afterOffset);
        }
        ChatResponse response =
                new ChatResponse(sink, found.attempt().baseOffset(), afterOffset, context.ticker());
        ChatResponse other = responses.putIfAbsent(key(request), response);
        if (other != null) {
            attach(other, request, sink, afterOffset);
            return;
        }
        AttemptId first = found.attempt();
        RequestExecution run =
                new RequestExecution(context, shared, request, pool, response, placement, first);
        runOwned(request, response, () -> run.takeOver(found.engine(), found.attempt()));
    }

    private static void attach(
            ChatResponse response, ChatRequest request, ResponseSink sink, long afterOffset) {
        try {
            response.attach(sink, afterOffset, request.deadline().remaining());
        } catch (AwaitTimeoutException e) {
            throw RequestException.unknown(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "the deadline passed before the response was complete")
                    .withRetryAfter(RETRY_AFTER)
                    .withCause(e);
        }
    }

    private static RequestException responseNotAvailable(long afterOffset) {
        return RequestException.unknown(
                ErrorCode.NOT_FOUND,
                "the response after event "
                        + afterOffset
                        + " is not available: no engine knows the request or its chunks");
    }

    private Optional<LocatedAttempt> locate(
            ChatRequest request, Pool pool, Optional<Placement> placement) {
        AttemptId first = AttemptId.first(request);
        Optional<LocatedAttempt> placed =
                placement
                        .flatMap(Placement::run)
                        .flatMap(r -> first.parseIfSameRequest(r.attempt()))
                        .flatMap(
                                a ->
                                        context.targets()
                                                .find(placement.get().target())
                                                .map(t -> new LocatedAttempt(t, a)));
        if (placed.isPresent()) {
            return placed;
        }
        for (int round = 0; round < LOCATE_ROUNDS && !request.deadline().isExpired(); round++) {
            Optional<LocatedAttempt> found = queryAll(request, pool, first);
            if (found.isPresent()) {
                return found;
            }
            Tasks.sleep(LOCATE_INTERVAL);
        }
        return Optional.empty();
    }

    /** Queries the engines of a pool for a request, beginning with those preferred for the chat. */
    private Optional<LocatedAttempt> queryAll(ChatRequest request, Pool pool, AttemptId first) {
        List<Target> ordered =
                new ArrayList<>(context.router().preferred(pool.id(), request.chat()));
        for (Target t : context.targets().targets(pool.id())) {
            if (!ordered.contains(t)) {
                ordered.add(t);
            }
        }
        for (int from = 0; from < ordered.size(); from += QUERY_CONCURRENCY) {
            List<Target> batch =
                    ordered.subList(from, Math.min(ordered.size(), from + QUERY_CONCURRENCY));
            Optional<LocatedAttempt> found = queryBatch(batch, first);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private Optional<LocatedAttempt> queryBatch(List<Target> batch, AttemptId first) {
        var known =
                batch.stream()
                        .map(t -> subscribe(context.engines().hasAttempt(t, first.asRequestId())))
                        .toList();
        var running =
                batch.stream().map(t -> subscribe(context.engines().runningAttempts(t))).toList();
        Optional<LocatedAttempt> best = Optional.empty();
        for (int i = 0; i < batch.size(); i++) {
            Target t = batch.get(i);
            List<AttemptId> attempts = new ArrayList<>();
            resultOf(running.get(i))
                    .orElse(List.of())
                    .forEach(id -> first.parseIfSameRequest(id).ifPresent(attempts::add));
            if (resultOf(known.get(i)).orElse(false)) {
                attempts.add(first);
            }
            for (AttemptId a : attempts) {
                if (best.isEmpty() || a.number() > best.get().attempt().number()) {
                    best = Optional.of(new LocatedAttempt(t, a));
                }
            }
        }
        return best;
    }

    private static <T> CompletableFuture<T> subscribe(Uni<T> operation) {
        return operation.subscribeAsCompletionStage();
    }

    /** Waits for an engine's result; empty if the engine fails or does not respond in time. */
    private <T> Optional<T> resultOf(CompletableFuture<T> result) {
        try {
            return Optional.ofNullable(Await.result(result, context.timings().engineCallTimeout()));
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }
}
