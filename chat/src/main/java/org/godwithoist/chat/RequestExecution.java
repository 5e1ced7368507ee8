package org.godwithoist.chat;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.accounting.Usage;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.membership.Target;
import org.godwithoist.routing.CacheStrategy;
import org.godwithoist.routing.Placement;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.RouteOption;
import org.godwithoist.routing.RouteRequest;
import org.godwithoist.routing.RunningRequest;
import org.godwithoist.routing.SlotWaitPlanner;

/** Serves one request over as many attempts as it takes. Not thread-safe. */
final class RequestExecution {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** A slot expires 2 s after it was requested, so the transfer must end earlier. */
    private static final Duration CACHE_TRANSFER_TIMEOUT = Duration.ofMillis(1_200);

    /**
     * Consecutive connections to one engine that deliver no new chunk before the attempt is
     * abandoned.
     */
    private static final int MAX_CONNECTIONS_WITHOUT_PROGRESS = 3;

    private static final int MAX_ATTEMPTS = 8;

    private final ChatContext context;
    private final SharedRequestState shared;
    private final ChatRequest request;
    private final Pool pool;
    private final ChatResponse response;
    private final Optional<Placement> placement;
    private final List<Attempt> attempts = new ArrayList<>();
    private final Set<TargetId> excluded = new HashSet<>();
    private AttemptId nextId;
    private boolean mayHaveRun;
    private boolean handedOver;
    private boolean cacheTransferAttempted;

    private enum Result {
        /** The caller has the complete response or has disconnected for good. */
        DONE,
        /** The attempt failed; the request is retried. */
        RETRY,
        /** The slot expired before anything was sent; this does not count as a retry. */
        NO_SLOT
    }

    /** A slot and the routing option for which it was granted. */
    private record GrantedSlot(Slot slot, RouteOption option) {}

    RequestExecution(
            ChatContext context,
            SharedRequestState shared,
            ChatRequest request,
            Pool pool,
            ChatResponse response,
            Optional<Placement> placement,
            AttemptId firstId) {
        this.context = context;
        this.shared = shared;
        this.request = request;
        this.pool = pool;
        this.response = response;
        this.placement = placement;
        nextId = firstId;
    }

    /**
     * Serves the request to its end.
     *
     * @throws RequestException if the request fails; its run state is {@code NOT_RUN} only if it is
     *     certain that no engine ran the request
     */
    void serve() {
        Result result = Result.NO_SLOT;
        while (result != Result.DONE) {
            if (result == Result.RETRY) {
                prepareRetry();
            }
            result = runAttempt(acquireSlot());
        }
    }

    /**
     * Serves the rest of a response that an engine is generating for another daemon, whose caller
     * has reconnected here. The other daemon keeps the slot and records the usage.
     */
    void takeOver(Target engine, AttemptId running) {
        mayHaveRun = true;
        nextId = running.nextAfterTakeOver();
        Attempt attempt = new Attempt(context, shared, engine, running, Optional.empty());
        attempt.markSent();
        attempts.add(attempt);
        reportPlacement(PlacementChange.Kind.CLAIMED, attempt, 0);
        if (readResponse(attempt) != Result.DONE) {
            prepareRetry();
            serve();
        }
    }

    // ---- slot

    private GrantedSlot acquireSlot() {
        SlotWaitPlanner waitPlanner = new SlotWaitPlanner(context.ticker(), request.deadline());
        while (true) {
            List<RouteOption> options = routeOptions(waitPlanner.triedTargets());
            rejectIfTooLate(options);
            SlotWaitPlanner.Step step = waitPlanner.next(options);
            RouteOption option = step.option();
            Optional<Slot> slot = context.admission().acquire(slotRequest(option), step.maxWait());
            context.router()
                    .costModel()
                    .recordWait(option.target().id(), waitPlanner.currentWait());
            if (slot.isPresent()) {
                return new GrantedSlot(slot.get(), option);
            }
            response.keepAlive();
            if (response.disconnectedFor().compareTo(context.timings().reconnectTimeout()) >= 0) {
                throw failure(ErrorCode.NO_CAPACITY, "the caller disconnected");
            }
        }
    }

    private List<RouteOption> routeOptions(Set<TargetId> fullTargets) {
        List<RouteOption> options = choose(fullTargets);
        while (options.isEmpty()) {
            if (excluded.isEmpty() || request.deadline().isExpired()) {
                throw failure(
                        ErrorCode.NO_CAPACITY,
                        "all engines of pool "
                                + pool.id()
                                + " are out of service or failed this request");
            }
            // Every engine failed this request once; the first to recover may be tried again.
            excluded.clear();
            response.keepAlive();
            Tasks.sleep(request.deadline().cap(RETRY_DELAY.multipliedBy(1L << attempts.size())));
            options = choose(fullTargets);
        }
        return options;
    }

    private List<RouteOption> choose(Set<TargetId> fullTargets) {
        return context.router()
                .choose(
                        new RouteRequest(
                                request.chat(),
                                pool,
                                request.promptTokens(),
                                placement,
                                excluded,
                                fullTargets));
    }

    private void rejectIfTooLate(List<RouteOption> options) {
        double remainingMs = request.deadline().remaining().toNanos() / 1e6;
        if (options.getFirst().costMs() < remainingMs) {
            return;
        }
        if (options.getFirst().waitMs() > 0) {
            throw failure(
                    ErrorCode.NO_CAPACITY,
                    "no engine of pool " + pool.id() + " has a free slot before the deadline");
        }
        throw attempts.isEmpty()
                ? failure(
                        ErrorCode.DEADLINE_EXCEEDED,
                        "the response cannot start before the deadline")
                : failure(
                        ErrorCode.TARGET_FAILED,
                        "engines failed and the deadline leaves no time for another attempt");
    }

    private SlotRequest slotRequest(RouteOption option) {
        return new SlotRequest(
                request.id(),
                request.workspace(),
                request.priority(),
                pool.id(),
                option.target().id());
    }

    // ---- attempts

    private Result runAttempt(GrantedSlot granted) {
        Target engine = granted.option().target();
        Attempt attempt =
                new Attempt(
                        context,
                        shared,
                        engine,
                        withCurrentBase(nextId),
                        Optional.of(granted.slot()));
        nextId = nextId.next(0);
        if (granted.option().strategy() == CacheStrategy.IMPORT && !cacheTransferAttempted) {
            cacheTransferAttempted = true;
            transferCache(engine);
        }
        try {
            context.usage().open(attempt.id().asRequestId(), request.workspace(), engine.id());
            if (!granted.slot().use()) {
                attempt.markNotRun(Slot.Outcome.UNUSED);
                return Result.NO_SLOT;
            }
        } catch (RuntimeException e) {
            attempt.markNotRun(Slot.Outcome.UNUSED);
            throw e;
        }
        attempts.add(attempt);
        response.recordAttempt(attempt.id());
        reportPlacement(PlacementChange.Kind.STARTED, attempt, 0);
        return readResponse(attempt);
    }

    private AttemptId withCurrentBase(AttemptId id) {
        return new AttemptId(id.prefix(), id.number(), response.lastOffset());
    }

    private void transferCache(Target to) {
        Target from = context.targets().find(placement.orElseThrow().target()).orElse(null);
        if (from == null) {
            return;
        }
        Deadline limit =
                Deadline.after(request.deadline().cap(CACHE_TRANSFER_TIMEOUT), context.ticker());
        long start = context.ticker().nanos();
        try {
            var export =
                    Await.result(
                            context.engines().exportCache(from, request.chat()), limit.remaining());
            Await.result(context.engines().importCache(to, export), limit.remaining());
            Duration time = Duration.ofNanos(context.ticker().nanos() - start);
            context.router().costModel().recordTransfer(export.tokens(), time);
        } catch (RuntimeException e) {
            // The engine computes the complete prompt instead.
            LOG.atInfo().log(
                    "cannot transfer the prompt cache of chat %s from %s; it is computed again: %s",
                    request.chat(), from.id(), e);
        }
    }

    /** Reads the response of an attempt, over several connections if necessary. */
    private Result readResponse(Attempt attempt) {
        int connectionsWithoutProgress = 0;
        boolean open = !attempt.isTakenOver();
        while (true) {
            long offsetBefore = attempt.reorderBuffer().lastOffset();
            EngineException failure;
            try (EngineStream stream = open ? open(attempt) : resume(attempt)) {
                mayHaveRun = true;
                return forwardStream(attempt, stream);
            } catch (EngineException e) {
                failure = e;
            } catch (AwaitTimeoutException e) {
                failure =
                        new EngineException(
                                EngineException.Kind.CONNECTION_LOST,
                                attempt.engine().id()
                                        + " sent no event or keepalive within the stall timeout",
                                e);
            } catch (RequestException e) {
                attempt.cancel(Slot.Outcome.CANCELLED);
                throw e;
            } catch (RuntimeException e) {
                attempt.cancel(Slot.Outcome.FAILED);
                throw e;
            }
            if (request.deadline().isExpired()) {
                attempt.cancel(Slot.Outcome.CANCELLED);
                throw deadlineExceeded();
            }
            LOG.atInfo().log(
                    "attempt %s was interrupted: %s",
                    attempt.id().asRequestId(), failure.getMessage());
            if (failure.kind() == EngineException.Kind.CONNECTION_LOST) {
                mayHaveRun = true;
                attempt.markSent();
                context.engines().discardConnections(attempt.engine());
            }
            boolean progress = attempt.reorderBuffer().lastOffset() > offsetBefore;
            connectionsWithoutProgress = progress ? 1 : connectionsWithoutProgress + 1;
            boolean resumable = failure.kind() == EngineException.Kind.CONNECTION_LOST;
            if (!resumable || connectionsWithoutProgress >= MAX_CONNECTIONS_WITHOUT_PROGRESS) {
                return handleFailure(attempt, failure);
            }
            open = false;
            response.recordResume();
        }
    }

    private EngineStream open(Attempt attempt) {
        return connect(
                context.engines()
                        .open(
                                attempt.engine(),
                                attempt.id().asRequestId(),
                                request,
                                response.text()));
    }

    private EngineStream resume(Attempt attempt) {
        attempt.reorderBuffer().restart();
        return connect(
                context.engines()
                        .resume(
                                attempt.engine(),
                                attempt.id().asRequestId(),
                                attempt.reorderBuffer().lastOffset()));
    }

    private EngineStream connect(CompletableFuture<EngineStream> stream) {
        try {
            return Await.result(stream, request.deadline().cap(context.timings().stallTimeout()));
        } catch (AwaitTimeoutException e) {
            // Otherwise a connection that is established late would send the request a second
            // time.
            if (!stream.cancel(true) && !stream.isCompletedExceptionally()) {
                stream.join().close();
            }
            throw e;
        }
    }

    private Result handleFailure(Attempt attempt, EngineException failure) {
        switch (failure.kind()) {
            case INVALID -> {
                attempt.markNotRun(Slot.Outcome.CANCELLED);
                throw failure(ErrorCode.BAD_REQUEST, failure.getMessage()).withCause(failure);
            }
            case FAILED -> {
                mayHaveRun = true;
                attempt.markSent();
                attempt.cancel(Slot.Outcome.FAILED);
                excluded.add(attempt.engine().id());
            }
            case UNKNOWN_REQUEST -> {
                // The request was lost in transit or the engine restarted; the engine can accept a
                // new attempt.
                attempt.cancel(Slot.Outcome.FAILED);
            }
            default -> {
                attempt.cancel(Slot.Outcome.FAILED);
                excluded.add(attempt.engine().id());
            }
        }
        if (!response.isContinuable()) {
            throw failure(
                    ErrorCode.TARGET_FAILED,
                    attempt.engine().id()
                            + " failed and no other engine can continue the response: it is not"
                            + " plain text, or this daemon does not have its beginning");
        }
        return Result.RETRY;
    }

    private void prepareRetry() {
        if (attempts.size() >= MAX_ATTEMPTS) {
            throw failure(
                    ErrorCode.TARGET_FAILED, "the request failed in " + MAX_ATTEMPTS + " attempts");
        }
        long giveUpAt = context.ticker().nanos() + context.timings().retryBudgetTimeout().toNanos();
        while (!shared.budget().tryAcquire()) {
            if (context.ticker().nanos() - giveUpAt >= 0 || request.deadline().isExpired()) {
                throw failure(
                        ErrorCode.TARGET_FAILED,
                        "an engine failed and the retry budget of this daemon is exhausted");
            }
            response.keepAlive();
            Tasks.sleep(RETRY_DELAY);
        }
        if (response.disconnectedFor().compareTo(context.timings().reconnectTimeout()) >= 0) {
            throw failure(ErrorCode.TARGET_FAILED, "the caller disconnected");
        }
    }

    // ---- stream

    private Result forwardStream(Attempt attempt, EngineStream stream) {
        attempt.markSent();
        long gapSince = context.ticker().nanos();
        while (true) {
            if (request.deadline().isExpired()) {
                throw deadlineExceeded();
            }
            if (isAbandoned(attempt)) {
                throw failure(ErrorCode.DEADLINE_EXCEEDED, "the caller disconnected");
            }
            Duration limit = request.deadline().cap(context.timings().stallTimeout());
            switch (Await.result(stream.next(), limit)) {
                case EngineEvent.Chunk chunk -> attempt.reorderBuffer().add(chunk);
                case EngineEvent.KeepAlive _ -> response.keepAlive();
                case EngineEvent.End end -> {
                    if (attempt.reorderBuffer().hasGap()) {
                        throw missingChunk(attempt);
                    }
                    finish(attempt, end);
                    return Result.DONE;
                }
            }
            Optional<EngineEvent.Chunk> next = attempt.reorderBuffer().poll();
            while (next.isPresent()) {
                attempt.markFirstChunk();
                response.append(next.get());
                next = attempt.reorderBuffer().poll();
            }
            long now = context.ticker().nanos();
            if (!attempt.reorderBuffer().hasGap()) {
                gapSince = now;
            } else if (now - gapSince > context.timings().stallTimeout().toNanos()) {
                throw missingChunk(attempt);
            }
        }
    }

    /**
     * Returns whether the caller has been away for the reconnect timeout and has not reconnected to
     * another daemon, which would have claimed the attempt in the placement of the chat.
     */
    private boolean isAbandoned(Attempt attempt) {
        if (handedOver
                || response.disconnectedFor().compareTo(context.timings().reconnectTimeout()) < 0) {
            return false;
        }
        handedOver =
                context.placements()
                        .lookup(request.chat())
                        .flatMap(Placement::run)
                        .filter(r -> r.attempt().equals(attempt.id().asRequestId()))
                        .map(r -> !r.daemon().equals(context.self()))
                        .orElse(false);
        return !handedOver;
    }

    private void finish(Attempt attempt, EngineEvent.End end) {
        attempt.complete(end.usage());
        Usage u = end.usage();
        if (!attempt.isTakenOver()) {
            long uncached = Math.max(0, u.promptTokens() - u.cachedTokens());
            context.router()
                    .costModel()
                    .recordResponse(
                            attempt.engine().id(),
                            uncached,
                            u.completionTokens(),
                            attempt.timeToFirstChunk());
        }
        reportPlacement(
                PlacementChange.Kind.FINISHED, attempt, u.promptTokens() + u.completionTokens());
        Usage total = Usage.NONE;
        // A daemon that took the request over does not know the usage of the earlier attempts.
        int unsettled = attempts.getFirst().id().baseOffset() == 0 ? 0 : 1;
        for (Attempt a : attempts) {
            total = total.plus(a.reportedUsage().orElse(Usage.NONE));
            unsettled += a.reportedUsage().isPresent() ? 0 : 1;
        }
        response.finish(new ResponseEnd(total, unsettled, end.finishReason()));
    }

    // ---- reports and failures

    private void reportPlacement(PlacementChange.Kind kind, Attempt attempt, long tokens) {
        var run =
                new RunningRequest(
                        attempt.id().asRequestId(), attempt.id().baseOffset(), context.self());
        context.placements()
                .report(
                        request.chat(),
                        new PlacementChange(kind, attempt.engine().id(), tokens, Optional.of(run)));
    }

    private static EngineException missingChunk(Attempt attempt) {
        return new EngineException(
                EngineException.Kind.CONNECTION_LOST,
                "chunk "
                        + (attempt.reorderBuffer().lastOffset() + 1)
                        + " of attempt "
                        + attempt.id().asRequestId()
                        + " is missing in the stream of the engine");
    }

    private RequestException deadlineExceeded() {
        return failure(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the response was complete");
    }

    private RequestException failure(ErrorCode code, String message) {
        RunState state = mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
        var e = new RequestException(code, state, message);
        return code.retryable() ? e.withRetryAfter(RETRY_AFTER) : e;
    }
}
