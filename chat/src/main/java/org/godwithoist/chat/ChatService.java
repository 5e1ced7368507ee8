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
    private static final Duration DRAIN_POLL = Duration.ofMillis(50);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Engines queried concurrently for a request whose engine is not known. */
    private static final int ASKED_AT_ONCE = 32;

    /** Engines publish their running requests with a delay, so they are queried several times. */
    private static final int LOCATE_ROUNDS = 3;

    private static final Duration LOCATE_PAUSE = Duration.ofMillis(400);

    private final ChatContext context;
    private final Workload workload;
    private final WorkspaceLimits limits = new WorkspaceLimits();
    private final Map<Key, Answer> answers = new ConcurrentHashMap<>();
    private volatile boolean draining;

    /** Identifies a request; callers choose request ids, so two workspaces may use the same one. */
    private record Key(WorkspaceId workspace, RequestId request) {}

    /** An attempt and the engine that runs it. */
    private record Located(Target engine, AttemptId attempt) {}

    /** Creates the service; it starts no tasks until a request is served. */
    public ChatService(ChatContext context) {
        this.context = context;
        workload =
                new Workload(
                        new RetryBudget(context.ticker(), RetryBudget.Floor.BURST),
                        new AtomicInteger());
    }

    /**
     * Serves a request and sends the response to the sink. Returns when the response has ended or
     * the caller has disconnected for good.
     *
     * @throws RequestException with the true run state if the request fails; nothing is thrown once
     *     the response has ended
     */
    public void serve(ChatRequest request, AnswerSink sink) {
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
        limits.enter(workspace);
        try {
            start(request, pool, sink);
        } finally {
            limits.leave(workspace.id());
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
        return workload.inProgress().get();
    }

    /** Waits until nothing is in progress; returns false if the time runs out first. */
    public boolean awaitIdle(Duration patience) {
        Deadline deadline = Deadline.after(patience, context.ticker());
        while (inProgress() > 0) {
            if (deadline.isExpired() || !Tasks.sleep(DRAIN_POLL)) {
                return false;
            }
        }
        return true;
    }

    private void start(ChatRequest request, Pool pool, AnswerSink sink) {
        if (request.deadline().isExpired()) {
            throw RequestException.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        Answer answer = new Answer(sink, 0, 0, context.ticker());
        Answer before = register(request, answer);
        workload.budget().recordRequest();
        Optional<Placement> placement = context.placements().lookup(request.chat());
        AttemptId id = firstId(request, Optional.ofNullable(before), placement);
        ChatRun run = new ChatRun(context, workload, request, pool, answer, placement, id);
        own(request, answer, run::serve);
    }

    /** Registers a response and returns the finished one that had the same request id, or null. */
    private Answer register(ChatRequest request, Answer answer) {
        while (true) {
            Answer before = answers.putIfAbsent(key(request), answer);
            if (before == null) {
                return null;
            }
            if (!before.isFinished()) {
                throw RequestException.notRun(
                        ErrorCode.CONFLICT,
                        "a request with this id is in progress; send Last-Event-ID to get its"
                                + " answer");
            }
            if (answers.replace(key(request), before, answer)) {
                return before;
            }
        }
    }

    /**
     * Returns the id of the first attempt. A reused request id must not collide with the usage of
     * its earlier attempts at the engine or in the accounts.
     */
    private static AttemptId firstId(
            ChatRequest request, Optional<Answer> before, Optional<Placement> placement) {
        AttemptId first = AttemptId.first(request);
        return before.flatMap(Answer::attempt)
                .or(
                        () ->
                                placement
                                        .flatMap(Placement::run)
                                        .flatMap(r -> first.sameRequest(r.attempt())))
                .map(a -> a.next(0))
                .orElse(first);
    }

    /** Runs a request that this daemon owns and retains the response for a reconnecting caller. */
    private void own(ChatRequest request, Answer answer, Runnable body) {
        workload.inProgress().incrementAndGet();
        try {
            body.run();
            observe(request, answer, Optional.empty());
            keepForAWhile(request, answer);
        } catch (RequestException e) {
            forget(request, answer, e);
            throw e;
        } catch (RuntimeException e) {
            var failure =
                    RequestException.unknown(ErrorCode.INTERNAL, "the daemon failed").withCause(e);
            forget(request, answer, failure);
            throw failure;
        } finally {
            workload.inProgress().decrementAndGet();
        }
    }

    private void forget(ChatRequest request, Answer answer, RequestException failure) {
        answers.remove(key(request), answer);
        answer.fail(failure);
        observe(request, answer, Optional.of(failure.code()));
    }

    /** Reports the end of a request; a failure of the observer must not affect the response. */
    private void observe(ChatRequest request, Answer answer, Optional<ErrorCode> failure) {
        try {
            context.observer().ended(request, answer.outcome(failure));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("the end of %s was not observed", request.id());
        }
    }

    private void keepForAWhile(ChatRequest request, Answer answer) {
        if (draining) {
            answers.remove(key(request), answer);
            return;
        }
        Tasks.start(
                "forget-" + request.id(),
                () -> {
                    Tasks.sleep(context.timings().reconnect());
                    answers.remove(key(request), answer);
                });
    }

    private static Key key(ChatRequest request) {
        return new Key(request.workspace(), request.id());
    }

    // ---- reconnecting callers

    private void resume(ChatRequest request, Pool pool, AnswerSink sink, long after) {
        Answer here = answers.get(key(request));
        if (here != null) {
            attach(here, request, sink, after);
            return;
        }
        Optional<Placement> placement = context.placements().lookup(request.chat());
        Located found = locate(request, pool, placement).orElseThrow(() -> gone(after));
        if (after < found.attempt().base()) {
            throw gone(after);
        }
        Answer answer = new Answer(sink, found.attempt().base(), after, context.ticker());
        Answer other = answers.putIfAbsent(key(request), answer);
        if (other != null) {
            attach(other, request, sink, after);
            return;
        }
        AttemptId first = found.attempt();
        ChatRun run = new ChatRun(context, workload, request, pool, answer, placement, first);
        own(request, answer, () -> run.takeOver(found.engine(), found.attempt()));
    }

    private static void attach(Answer answer, ChatRequest request, AnswerSink sink, long after) {
        try {
            answer.attach(sink, after, request.deadline().remaining());
        } catch (AwaitTimeoutException e) {
            throw RequestException.unknown(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "the deadline passed before the answer ended")
                    .withRetryAfter(RETRY_AFTER)
                    .withCause(e);
        }
    }

    private static RequestException gone(long after) {
        return RequestException.unknown(
                ErrorCode.NOT_FOUND, "the answer after event " + after + " is not available");
    }

    private Optional<Located> locate(
            ChatRequest request, Pool pool, Optional<Placement> placement) {
        AttemptId first = AttemptId.first(request);
        Optional<Located> placed =
                placement
                        .flatMap(Placement::run)
                        .flatMap(r -> first.sameRequest(r.attempt()))
                        .flatMap(
                                a ->
                                        context.targets()
                                                .find(placement.get().target())
                                                .map(t -> new Located(t, a)));
        if (placed.isPresent()) {
            return placed;
        }
        for (int round = 0; round < LOCATE_ROUNDS && !request.deadline().isExpired(); round++) {
            Optional<Located> found = askAll(request, pool, first);
            if (found.isPresent()) {
                return found;
            }
            Tasks.sleep(LOCATE_PAUSE);
        }
        return Optional.empty();
    }

    /** Queries the engines of a pool for a request, beginning with those preferred for the chat. */
    private Optional<Located> askAll(ChatRequest request, Pool pool, AttemptId first) {
        List<Target> order = new ArrayList<>(context.router().preferred(pool.id(), request.chat()));
        for (Target t : context.targets().targets(pool.id())) {
            if (!order.contains(t)) {
                order.add(t);
            }
        }
        for (int from = 0; from < order.size(); from += ASKED_AT_ONCE) {
            List<Target> batch = order.subList(from, Math.min(order.size(), from + ASKED_AT_ONCE));
            Optional<Located> found = askBatch(batch, first);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private Optional<Located> askBatch(List<Target> batch, AttemptId first) {
        var known = batch.stream().map(t -> ask(context.engines().knows(t, first.id()))).toList();
        var running = batch.stream().map(t -> ask(context.engines().running(t))).toList();
        Optional<Located> best = Optional.empty();
        for (int i = 0; i < batch.size(); i++) {
            Target t = batch.get(i);
            List<AttemptId> attempts = new ArrayList<>();
            answered(running.get(i))
                    .orElse(List.of())
                    .forEach(id -> first.sameRequest(id).ifPresent(attempts::add));
            if (answered(known.get(i)).orElse(false)) {
                attempts.add(first);
            }
            for (AttemptId a : attempts) {
                if (best.isEmpty() || a.number() > best.get().attempt().number()) {
                    best = Optional.of(new Located(t, a));
                }
            }
        }
        return best;
    }

    private static <T> CompletableFuture<T> ask(Uni<T> question) {
        return question.subscribeAsCompletionStage();
    }

    /**
     * Returns the response of an engine; an engine that fails or times out counts as not knowing
     * the request.
     */
    private <T> Optional<T> answered(CompletableFuture<T> answer) {
        try {
            return Optional.ofNullable(Await.result(answer, context.timings().engineCall()));
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }
}
