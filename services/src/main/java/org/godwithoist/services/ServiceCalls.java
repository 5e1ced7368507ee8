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
public final class ServiceCalls {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Maximum length of a request body, in bytes. */
    public static final int MAX_BODY_BYTES = 4 << 20;

    /** Timeout for the next chunk of a caller's body. */
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(10);

    /** Limits the wait at one target, so that a slot released at another target is found. */
    private static final Duration WAIT_AT_ONE_TARGET = Duration.ofMillis(200);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration DRAIN_STEP = Duration.ofMillis(20);
    private static final int MAX_ATTEMPTS = 3;

    /**
     * The body of a request with a key is hashed before its claim is stored, and its response is
     * retained; both are in memory.
     */
    private static final long MAX_KEYED_BYTES = 64L << 20;

    /** Plain services count requests, not tokens. */
    private static final Usage ONE_CALL = new Usage(1, 0, 0, 0);

    private final Supplier<Bundle> bundle;
    private final TargetDirectory targets;
    private final Admission admission;
    private final ServiceClient client;
    private final UsageRecorder usage;
    private final Claims claims;
    private final RetryBudget retries;
    private final MemoryBudget keyedBodies = new MemoryBudget(MAX_KEYED_BYTES);
    private final Map<PoolId, TargetChoice> choices = new ConcurrentHashMap<>();
    private final Map<WorkspaceId, AtomicInteger> inProgress = new ConcurrentHashMap<>();

    /** Creates the service; it starts no tasks. */
    public ServiceCalls(
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
        this.retries = new RetryBudget(ticker, RetryBudget.Floor.STEADY);
    }

    /**
     * Serves a request and sends the response to the sink.
     *
     * @throws RequestException if the request fails; the sink may have received a part of the
     *     response
     */
    public void serve(ServiceCall call, ByteStream body, CallSink sink) {
        Bundle b = bundle.get();
        Pool pool = b.pools().get(call.service());
        if (pool == null || pool.kind() != Pool.Kind.SERVICE) {
            throw RequestException.notRun(
                    ErrorCode.NOT_FOUND, "there is no service " + call.service());
        }
        int limit = b.workspaces().get(call.workspace()).maxConcurrent();
        AtomicInteger active =
                inProgress.computeIfAbsent(call.workspace(), w -> new AtomicInteger());
        if (active.incrementAndGet() > limit) {
            active.decrementAndGet();
            throw RequestException.notRun(
                            ErrorCode.OVER_LIMIT,
                            "the workspace has " + limit + " calls in progress")
                    .withRetryAfter(RETRY_AFTER);
        }
        try {
            retries.recordRequest();
            if (call.key().isPresent()) {
                serveOnce(call, body, sink);
            } else {
                attempts(call, body, sink, Optional.empty());
            }
        } finally {
            active.decrementAndGet();
        }
    }

    /** Returns the number of requests in progress. */
    public int callsInProgress() {
        return inProgress.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    /**
     * Waits until no request is in progress and the store has accepted every completion of a claim.
     *
     * @return false if the time runs out first
     */
    public boolean drain(Duration time) {
        Deadline deadline = Deadline.after(time, Ticker.SYSTEM);
        while (callsInProgress() > 0 || claims.waitingEnds() > 0) {
            claims.repeatEnds();
            if (deadline.isExpired() || !Tasks.sleep(DRAIN_STEP)) {
                return false;
            }
        }
        return true;
    }

    // ---- requests with an idempotency key

    private void serveOnce(ServiceCall call, ByteStream body, CallSink sink) {
        byte[] content = readAll(body);
        try {
            ClaimKey key = new ClaimKey(call.workspace(), call.service(), call.key().orElseThrow());
            CallHash hash = CallHash.of(call.method(), call.path(), content);
            if (hasNoRoom(call, inService(call.service())) && claims.isFree(key)) {
                throw noCapacity(call);
            }
            RequestId attempt = AttemptIds.next(call.id());
            switch (claims.start(key, hash, attempt, call.deadline())) {
                case Claims.Start.Run run -> runOnce(call, content, sink, run);
                case Claims.Start.Replay replay -> replay(replay.answer(), sink);
            }
        } finally {
            keyedBodies.giveBack(content.length);
        }
    }

    private void runOnce(ServiceCall call, byte[] content, CallSink sink, Claims.Start.Run run) {
        // Unless the attempt is known to have ended otherwise, its result is unknown and it never
        // runs again.
        ClaimEvent event = ClaimEvent.LOSE;
        Optional<StoredAnswer> answer = Optional.empty();
        try {
            answer = Optional.of(attempts(call, ByteStream.of(content), sink, Optional.of(run)));
            event = ClaimEvent.ANSWER;
        } catch (RequestException e) {
            event = e.runState().allowsRetry() ? ClaimEvent.RELEASE : ClaimEvent.LOSE;
            throw e;
        } finally {
            claims.end(run, event, answer);
        }
    }

    private void replay(StoredAnswer answer, CallSink sink) {
        byte[] body =
                claims.body(answer)
                        .orElseThrow(
                                () ->
                                        new RequestException(
                                                ErrorCode.CONFLICT,
                                                answer.head().runState(),
                                                "the call ran before; its answer was too long to"
                                                        + " keep"));
        sink.head(answer.head(), answer.head().runState());
        sink.body(body);
        sink.end();
    }

    /** Reads a complete body; its bytes are reserved from the budget. */
    private byte[] readAll(ByteStream body) {
        var content = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            for (var piece = receive(body); piece.isPresent(); piece = receive(body)) {
                keyedBodies.take(piece.get().length);
                content.writeBytes(piece.get());
            }
            complete = true;
            return content.toByteArray();
        } finally {
            if (!complete) {
                keyedBodies.giveBack(content.size());
            }
        }
    }

    private static Optional<byte[]> receive(ByteStream body) {
        try {
            return body.next(RECEIVE_TIMEOUT);
        } catch (AwaitTimeoutException e) {
            throw RequestException.notRun(
                            ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time")
                    .withCause(e);
        }
    }

    // ---- attempts

    /**
     * Starts attempts until one ends the request. A request is retried only if nothing was sent, or
     * if it is safe and the caller has received no part of a response.
     */
    private StoredAnswer attempts(
            ServiceCall call, ByteStream body, CallSink sink, Optional<Claims.Start.Run> claim) {
        ByteStream received = new ReceivedBody(body);
        Progress progress = new Progress(sink);
        for (int n = 1; ; n++) {
            RequestId id =
                    n == 1 && claim.isPresent()
                            ? claim.get().claim().attempt()
                            : AttemptIds.next(call.id());
            try {
                return attempt(call, id, received, progress, claim.isPresent());
            } catch (ServiceException e) {
                LOG.atWarning().withCause(e).log("call %s: attempt %s failed", call.id(), id);
                boolean repeatable =
                        !e.kind().mayHaveRun()
                                || (call.method().isSafe()
                                        && claim.isEmpty()
                                        && !call.hasBody()
                                        && !progress.started);
                if (!repeatable
                        || n == MAX_ATTEMPTS
                        || call.deadline().isExpired()
                        || !retries.tryAcquire()) {
                    throw e.toRequestException();
                }
            }
        }
    }

    private StoredAnswer attempt(
            ServiceCall call, RequestId id, ByteStream body, Progress progress, boolean keyed) {
        Slot slot = acquire(call);
        Target target = targets.find(slot.target()).orElse(null);
        if (target == null || !target.service().acceptsWork() || !slot.use()) {
            slot.release(Slot.Outcome.UNUSED, Duration.ZERO);
            throw new ServiceException(
                    ServiceException.Kind.NOT_SENT,
                    "the slot at " + slot.target() + " cannot be used any more",
                    null);
        }
        usage.open(id, call.workspace(), target.id());
        long start = System.nanoTime();
        Slot.Outcome outcome = Slot.Outcome.FAILED;
        Duration answered = Duration.ZERO;
        try (ServiceAnswer answer = client.send(target, id, call, body)) {
            usage.close(id, ONE_CALL);
            answered = Duration.ofNanos(System.nanoTime() - start);
            StoredAnswer stored = copy(call, answer, progress, keyed);
            outcome = progress.callerGone ? Slot.Outcome.CANCELLED : Slot.Outcome.COMPLETED;
            return stored;
        } catch (ServiceException e) {
            if (e.kind().mayHaveRun()) {
                usage.lose(id);
            } else {
                usage.cancelUnsent(id);
            }
            throw e;
        } catch (RequestException e) {
            outcome = Slot.Outcome.CANCELLED;
            usage.lose(id);
            throw e;
        } finally {
            slot.release(outcome, answered);
        }
    }

    private StoredAnswer copy(
            ServiceCall call, ServiceAnswer answer, Progress progress, boolean keyed) {
        try (AnswerCapture capture = new AnswerCapture(answer.head(), keyedBodies)) {
            progress.head(answer.head());
            while (true) {
                Optional<byte[]> piece = nextPiece(call, answer);
                if (piece.isEmpty()) {
                    progress.end();
                    return capture.answer();
                }
                progress.body(piece.get());
                if (keyed) {
                    capture.add(piece.get());
                } else if (progress.callerGone) {
                    return StoredAnswer.notKept(answer.head());
                }
            }
        }
    }

    private static Optional<byte[]> nextPiece(ServiceCall call, ServiceAnswer answer) {
        try {
            return answer.body().next(call.deadline().remaining());
        } catch (AwaitTimeoutException e) {
            throw new ServiceException(
                    ServiceException.Kind.SILENT, "the answer did not end in time", e);
        }
    }

    private Slot acquire(ServiceCall call) {
        while (true) {
            List<TargetId> order = order(call.service());
            if (hasNoRoom(call, order)) {
                throw noCapacity(call);
            }
            for (TargetId t : order) {
                Optional<Slot> slot = admission.acquire(demand(call, t), Duration.ZERO);
                if (slot.isPresent()) {
                    return slot.get();
                }
            }
            Optional<Slot> slot =
                    admission.acquire(
                            demand(call, order.getFirst()),
                            call.deadline().cap(WAIT_AT_ONE_TARGET));
            if (slot.isPresent()) {
                return slot.get();
            }
        }
    }

    private boolean hasNoRoom(ServiceCall call, List<TargetId> candidates) {
        Optional<Duration> wait =
                candidates.stream().map(admission::expectedWait).min(Comparator.naturalOrder());
        return wait.isEmpty()
                || call.deadline().isExpired()
                || wait.get().compareTo(call.deadline().remaining()) > 0;
    }

    private List<TargetId> inService(PoolId service) {
        return targets.targets(service).stream()
                .filter(t -> t.service().acceptsWork())
                .map(Target::id)
                .toList();
    }

    private List<TargetId> order(PoolId service) {
        return choices.computeIfAbsent(service, s -> new TargetChoice())
                .order(inService(service), admission::expectedWait);
    }

    private static SlotRequest demand(ServiceCall call, TargetId target) {
        return new SlotRequest(
                call.id(), call.workspace(), call.priority(), call.service(), target);
    }

    private static RequestException noCapacity(ServiceCall call) {
        return RequestException.notRun(
                        ErrorCode.NO_CAPACITY,
                        "service " + call.service() + " has no room before the deadline")
                .withRetryAfter(RETRY_AFTER);
    }

    /** The part of the response that the caller has received. */
    private static final class Progress {
        private final CallSink sink;
        private boolean started;
        private boolean callerGone;

        Progress(CallSink sink) {
            this.sink = sink;
        }

        void head(AnswerHead head) {
            started = true;
            sink.head(head, head.runState());
        }

        void body(byte[] piece) {
            callerGone = callerGone || !sink.body(piece);
        }

        void end() {
            if (!callerGone) {
                sink.end();
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
