package org.godwithoist.services;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.godwithoist.accounting.Usage;
import org.godwithoist.accounting.UsageRecorder;
import org.godwithoist.admission.Admission;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.retry.RetryBudget;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;

/**
 * Forwards requests to plain services, from admission to the last byte. Each request runs in the
 * task of its caller's connection. Thread-safe.
 */
public final class ServiceProxy {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Maximum length of a request body, in bytes. */
    public static final int MAX_BODY_BYTES = 4 << 20;

    /** Timeout for the next chunk of a caller's body. */
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(10);

    /**
     * Limits the wait for a slot at one target, so that a slot released at another target is found.
     */
    private static final Duration MAX_WAIT_PER_TARGET = Duration.ofMillis(200);

    /** Timeout for the sign that the target of a body without a stated end still runs. */
    private static final Duration PRESENCE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_ATTEMPTS = 3;

    /**
     * Limit of the memory for all requests with an idempotency key. The body of such a request is
     * hashed before its claim is stored, and its response is retained, so both are fully buffered.
     */
    private static final long MAX_BUFFERED_BYTES = 64L << 20;

    /** Plain services count requests, not tokens. */
    private static final Usage ONE_REQUEST = new Usage(1, 0, 0, 0);

    private final Supplier<Bundle> bundle;
    private final TargetDirectory targets;
    private final Admission admission;
    private final ServiceClient client;
    private final UsageRecorder usage;
    private final Claims claims;
    private final RetryBudget retryBudget;
    private final MemoryBudget bufferBudget = new MemoryBudget(MAX_BUFFERED_BYTES);
    private final Map<PoolId, TargetSelector> selectors = new ConcurrentHashMap<>();
    private final Map<WorkspaceId, AtomicInteger> inProgress = new ConcurrentHashMap<>();

    /** Creates the proxy; it starts no tasks. */
    public ServiceProxy(
            Supplier<Bundle> bundle,
            TargetDirectory targets,
            Admission admission,
            ServiceClient client,
            UsageRecorder usage,
            Claims claims,
            Ticker ticker) {
        this.bundle = bundle;
        this.targets = targets;
        this.admission = admission;
        this.client = client;
        this.usage = usage;
        this.claims = claims;
        this.retryBudget = new RetryBudget(ticker, RetryBudget.Floor.STEADY);
    }

    /**
     * Serves a request and sends the response to the sink.
     *
     * @throws RequestException if the request fails; the sink may have received a part of the
     *     response
     */
    public void serve(ServiceRequest request, ByteStream body, ResponseSink sink) {
        Bundle b = bundle.get();
        Pool pool = b.pools().get(request.service());
        if (pool == null || pool.kind() != Pool.Kind.SERVICE) {
            throw RequestException.notRun(
                    ErrorCode.NOT_FOUND, "there is no service " + request.service());
        }
        int limit = b.workspaces().get(request.workspace()).maxConcurrent();
        AtomicInteger active =
                inProgress.computeIfAbsent(request.workspace(), w -> new AtomicInteger());
        if (active.incrementAndGet() > limit) {
            active.decrementAndGet();
            throw RequestException.notRun(
                            ErrorCode.OVER_LIMIT,
                            "the workspace has "
                                    + limit
                                    + " requests in progress, which is its limit")
                    .withRetryAfter(RETRY_AFTER);
        }
        try {
            retryBudget.recordRequest();
            if (request.key().isPresent()) {
                serveAtMostOnce(request, body, sink);
            } else {
                executeWithRetries(request, body, sink, Optional.empty());
            }
        } finally {
            active.decrementAndGet();
        }
    }

    /** Returns the number of requests in progress. */
    public int requestsInProgress() {
        return inProgress.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    /**
     * Waits until no request is in progress and the store has accepted every completion of a claim.
     *
     * @return false if the time runs out first
     */
    public boolean drain(Duration timeout) {
        Deadline deadline = Deadline.after(timeout, Ticker.SYSTEM);
        while (requestsInProgress() > 0 || claims.pendingCompletions() > 0) {
            claims.retryCompletions();
            if (deadline.isExpired() || !Tasks.sleep(DRAIN_POLL_INTERVAL)) {
                return false;
            }
        }
        return true;
    }

    // ---- requests with an idempotency key

    private void serveAtMostOnce(ServiceRequest request, ByteStream body, ResponseSink sink) {
        byte[] content = readAll(body);
        try {
            ClaimKey key =
                    new ClaimKey(
                            request.workspace(), request.service(), request.key().orElseThrow());
            RequestHash hash = RequestHash.of(request.method(), request.path(), content);
            if (hasNoCapacity(request, targetsInService(request.service())) && claims.isFree(key)) {
                throw noCapacity(request);
            }
            RequestId attempt = AttemptIds.next(request.id());
            switch (claims.acquire(key, hash, attempt, request.deadline())) {
                case Claims.Decision.Run run -> runClaimed(request, content, sink, run);
                case Claims.Decision.Replay replay -> replay(replay.response(), sink);
            }
        } finally {
            bufferBudget.release(content.length);
        }
    }

    private void runClaimed(
            ServiceRequest request, byte[] content, ResponseSink sink, Claims.Decision.Run run) {
        // Default: the attempt may have run without a known result, so it must never run again.
        ClaimEvent event = ClaimEvent.LOSE;
        Optional<StoredResponse> response = Optional.empty();
        try {
            response =
                    Optional.of(
                            executeWithRetries(
                                    request, ByteStream.of(content), sink, Optional.of(run)));
            event = ClaimEvent.COMPLETE;
        } catch (RequestException e) {
            event = e.runState().allowsRetry() ? ClaimEvent.RELEASE : ClaimEvent.LOSE;
            throw e;
        } finally {
            claims.complete(run, event, response);
        }
    }

    private void replay(StoredResponse response, ResponseSink sink) {
        byte[] body =
                claims.body(response)
                        .orElseThrow(
                                () ->
                                        new RequestException(
                                                ErrorCode.CONFLICT,
                                                response.head().runState(),
                                                "the request has already run; its response was"
                                                        + " not retained, because it was too long"
                                                        + " or its end was not stated"));
        sink.head(response.head(), response.head().runState());
        sink.body(body);
        sink.end();
    }

    /** Reads a complete body; its bytes are reserved from the budget. */
    private byte[] readAll(ByteStream body) {
        var content = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            for (var chunk = receive(body); chunk.isPresent(); chunk = receive(body)) {
                bufferBudget.reserve(chunk.get().length);
                content.writeBytes(chunk.get());
            }
            complete = true;
            return content.toByteArray();
        } finally {
            if (!complete) {
                bufferBudget.release(content.size());
            }
        }
    }

    private static Optional<byte[]> receive(ByteStream body) {
        try {
            return body.next(RECEIVE_TIMEOUT);
        } catch (AwaitTimeoutException e) {
            throw RequestException.notRun(
                            ErrorCode.REQUEST_TIMEOUT,
                            "the next chunk of the request body did not arrive in time")
                    .withCause(e);
        }
    }

    // ---- attempts

    /**
     * Starts attempts until one completes the request or no retry is permitted. A request is
     * retried only if nothing was sent, or if its method is safe, it has neither body nor
     * idempotency key, and the caller has received no part of a response.
     */
    private StoredResponse executeWithRetries(
            ServiceRequest request,
            ByteStream body,
            ResponseSink sink,
            Optional<Claims.Decision.Run> claim) {
        ByteStream received = new ReceivedBody(body);
        ResponseProgress progress = new ResponseProgress(sink);
        for (int n = 1; ; n++) {
            RequestId id =
                    n == 1 && claim.isPresent()
                            ? claim.get().claim().attempt()
                            : AttemptIds.next(request.id());
            try {
                return executeAttempt(request, id, received, progress, claim.isPresent());
            } catch (ServiceException e) {
                LOG.atWarning().withCause(e).log("request %s: attempt %s failed", request.id(), id);
                boolean retryable =
                        !e.kind().mayHaveRun() || (request.isRepeatable() && !progress.started);
                if (!retryable
                        || n == MAX_ATTEMPTS
                        || request.deadline().isExpired()
                        || !retryBudget.tryAcquire()) {
                    throw e.toRequestException();
                }
            }
        }
    }

    private StoredResponse executeAttempt(
            ServiceRequest request,
            RequestId id,
            ByteStream body,
            ResponseProgress progress,
            boolean keyed) {
        Slot slot = acquire(request);
        Target target = targets.find(slot.target()).orElse(null);
        if (target == null || !target.serviceState().acceptsWork() || !slot.use()) {
            slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
            throw new ServiceException(
                    ServiceException.Kind.NOT_SENT,
                    "the slot at target "
                            + slot.target()
                            + " expired, or the target is unknown or accepts no work",
                    null);
        }
        usage.open(id, request.workspace(), target.id());
        long start = System.nanoTime();
        Slot.Outcome outcome = Slot.Outcome.FAILED;
        Duration responseTime = Duration.ZERO;
        try (ServiceResponse response = client.send(target, id, request, body)) {
            usage.close(id, ONE_REQUEST);
            responseTime = Duration.ofNanos(System.nanoTime() - start);
            StoredResponse stored = forwardResponse(request, target, response, progress, keyed);
            outcome = progress.callerDisconnected ? Slot.Outcome.CANCELLED : Slot.Outcome.COMPLETED;
            return stored;
        } catch (ServiceException e) {
            if (e.kind().mayHaveRun()) {
                usage.markLost(id);
            } else {
                usage.cancelUnsent(id);
            }
            throw e;
        } catch (RequestException e) {
            outcome = Slot.Outcome.CANCELLED;
            usage.markLost(id);
            throw e;
        } finally {
            slot.release(outcome, responseTime);
        }
    }

    private StoredResponse forwardResponse(
            ServiceRequest request,
            Target target,
            ServiceResponse response,
            ResponseProgress progress,
            boolean keyed) {
        if (response.statesEnd()) {
            progress.head(response.head());
            return forwardBody(request, response.head(), response.body(), progress, keyed);
        }
        try (UnstatedEndBody body =
                new UnstatedEndBody(
                        response.body(), bufferBudget, () -> isRunning(request, target))) {
            return forwardUnstated(request, response.head(), body, progress);
        }
    }

    /**
     * Forwards a body without a stated end. It may be a part, so it is not retained. A body that
     * ends within the bytes that are held back is sent without a stated end, too.
     */
    private static StoredResponse forwardUnstated(
            ServiceRequest request,
            ResponseHead head,
            UnstatedEndBody body,
            ResponseProgress progress) {
        Optional<byte[]> chunk = nextChunk(request, body);
        if (body.hasEnded()) {
            progress.unstated(head, chunk.orElse(new byte[0]));
            return StoredResponse.withoutBody(head);
        }
        progress.head(head);
        while (chunk.isPresent() && !progress.callerDisconnected) {
            progress.body(chunk.get());
            chunk = nextChunk(request, body);
        }
        progress.endUnstated();
        return StoredResponse.withoutBody(head);
    }

    private boolean isRunning(ServiceRequest request, Target target) {
        return client.isRunning(target, request.deadline().cap(PRESENCE_TIMEOUT));
    }

    private StoredResponse forwardBody(
            ServiceRequest request,
            ResponseHead head,
            ByteStream body,
            ResponseProgress progress,
            boolean keyed) {
        try (ResponseRecorder recorder = new ResponseRecorder(head, bufferBudget)) {
            while (true) {
                Optional<byte[]> chunk = nextChunk(request, body);
                progress.head(head);
                if (chunk.isEmpty()) {
                    progress.end();
                    return recorder.storedResponse();
                }
                progress.body(chunk.get());
                if (keyed) {
                    recorder.add(chunk.get());
                } else if (progress.callerDisconnected) {
                    return StoredResponse.withoutBody(head);
                }
            }
        }
    }

    private static Optional<byte[]> nextChunk(ServiceRequest request, ByteStream body) {
        try {
            return body.next(request.deadline().remaining());
        } catch (AwaitTimeoutException e) {
            throw new ServiceException(
                    ServiceException.Kind.TIMED_OUT,
                    "the response was not complete before the deadline",
                    e);
        }
    }

    private Slot acquire(ServiceRequest request) {
        while (true) {
            List<TargetId> targetIds = orderedTargets(request.service());
            if (hasNoCapacity(request, targetIds)) {
                throw noCapacity(request);
            }
            for (TargetId t : targetIds) {
                Optional<Slot> slot = admission.acquire(slotRequest(request, t), Duration.ZERO);
                if (slot.isPresent()) {
                    return slot.get();
                }
            }
            Optional<Slot> slot =
                    admission.acquire(
                            slotRequest(request, targetIds.getFirst()),
                            request.deadline().cap(MAX_WAIT_PER_TARGET));
            if (slot.isPresent()) {
                return slot.get();
            }
        }
    }

    private boolean hasNoCapacity(ServiceRequest request, List<TargetId> candidates) {
        Optional<Duration> wait =
                candidates.stream().map(admission::expectedWait).min(Comparator.naturalOrder());
        return wait.isEmpty()
                || request.deadline().isExpired()
                || wait.get().compareTo(request.deadline().remaining()) > 0;
    }

    private List<TargetId> targetsInService(PoolId service) {
        return targets.targets(service).stream()
                .filter(t -> t.serviceState().acceptsWork())
                .map(Target::id)
                .toList();
    }

    private List<TargetId> orderedTargets(PoolId service) {
        return selectors
                .computeIfAbsent(service, s -> new TargetSelector())
                .orderByWait(targetsInService(service), admission::expectedWait);
    }

    private static SlotRequest slotRequest(ServiceRequest request, TargetId target) {
        return new SlotRequest(
                request.id(), request.workspace(), request.priority(), request.service(), target);
    }

    private static RequestException noCapacity(ServiceRequest request) {
        return RequestException.notRun(
                        ErrorCode.NO_CAPACITY,
                        "service " + request.service() + " has no free slot before the deadline")
                .withRetryAfter(RETRY_AFTER);
    }

    /** The part of the response that the caller has received. */
    private static final class ResponseProgress {
        private final ResponseSink sink;
        private boolean started;
        private boolean callerDisconnected;

        ResponseProgress(ResponseSink sink) {
            this.sink = sink;
        }

        /** Sends the head unless it has been sent. */
        void head(ResponseHead head) {
            if (started) {
                return;
            }
            started = true;
            sink.head(head, head.runState());
        }

        void body(byte[] chunk) {
            callerDisconnected = callerDisconnected || !sink.body(chunk);
        }

        void end() {
            if (!callerDisconnected) {
                sink.end();
            }
        }

        /** Sends a response whose target has not stated its end. */
        void unstated(ResponseHead head, byte[] body) {
            started = true;
            sink.unstated(head, head.runState(), body);
        }

        void endUnstated() {
            if (!callerDisconnected) {
                sink.endUnstated();
            }
        }
    }

    /**
     * The caller's body. A late chunk is reported as a failure of the caller, not of the target.
     */
    private record ReceivedBody(ByteStream body) implements ByteStream {
        @Override
        public Optional<byte[]> next(Duration timeout) {
            return receive(body);
        }
    }
}
