package org.godwithoist.chat;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.routing.Rendezvous;

/**
 * Serves one chat request from admission to the last token. Runs in the task of the caller's
 * connection.
 */
public final class ChatService {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Engines send an event or a keepalive every 250 ms; four missed ones mean a silent connection.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_ATTEMPTS = 4;

    private final Supplier<Bundle> bundle;
    private final TargetDirectory targets;
    private final Admission admission;
    private final EngineClient engines;
    private final UsageRecorder usage;

    /** Makes the service from the parts that it uses. */
    public ChatService(
            Supplier<Bundle> bundle,
            TargetDirectory targets,
            Admission admission,
            EngineClient engines,
            UsageRecorder usage) {
        this.bundle = bundle;
        this.targets = targets;
        this.admission = admission;
        this.engines = engines;
        this.usage = usage;
    }

    /**
     * Serves a request and sends the answer to the sink.
     *
     * @throws RequestException if the request fails; nothing is thrown once the answer ended
     */
    public void serve(ChatRequest request, AnswerSink sink) {
        Pool pool =
                bundle.get()
                        .poolOf(request.model())
                        .orElseThrow(
                                () ->
                                        RequestException.notRun(
                                                ErrorCode.NOT_FOUND,
                                                "there is no model " + request.model()));
        Answer answer = new Answer(request, sink);
        RunState runState = RunState.NOT_RUN;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            Slot slot = acquire(request, pool);
            Target engine = targets.find(slot.target()).orElseThrow();
            RequestId attemptId = new RequestId(request.id() + "." + attempt);
            try {
                runAttempt(answer, slot, engine, attemptId);
                return;
            } catch (EngineException e) {
                runState = e.kind().mayHaveRun() ? RunState.UNKNOWN : runState;
                LOG.atWarning().withCause(e).log(
                        "request %s: attempt %d at %s failed", request.id(), attempt, engine.id());
            }
        }
        throw new RequestException(
                ErrorCode.TARGET_FAILED,
                runState,
                "the request failed at " + MAX_ATTEMPTS + " engines");
    }

    private Slot acquire(ChatRequest request, Pool pool) {
        List<Target> ranked =
                Rendezvous.rank(
                        request.chat().value(),
                        targets.targets(pool.id()).stream()
                                .filter(t -> t.service().acceptsWork())
                                .toList(),
                        t -> t.id().value());
        for (Target t : ranked) {
            var demand =
                    new SlotRequest(
                            request.id(),
                            request.workspace(),
                            request.priority(),
                            pool.id(),
                            t.id());
            Optional<Slot> slot = admission.acquire(demand, Duration.ZERO);
            if (slot.isPresent()) {
                return slot.get();
            }
        }
        throw RequestException.notRun(
                        ErrorCode.NO_CAPACITY, "no engine of pool " + pool.id() + " has room")
                .withRetryAfter(Duration.ofSeconds(1));
    }

    private void runAttempt(Answer answer, Slot slot, Target engine, RequestId attemptId) {
        long start = System.nanoTime();
        if (!slot.use()) {
            throw new EngineException(
                    EngineException.Kind.REFUSED, "the slot at " + engine.id() + " expired");
        }
        usage.open(attemptId, answer.request.workspace(), engine.id());
        try (EngineStream stream =
                Await.result(
                        engines.open(engine, attemptId, answer.request, answer.text()),
                        OPEN_TIMEOUT)) {
            Usage counted = answer.copy(stream, STALL_TIMEOUT);
            usage.close(attemptId, counted);
            slot.release(Slot.Outcome.ANSWERED, answer.firstTokenSince(start));
        } catch (EngineException e) {
            slot.release(Slot.Outcome.FAILED, Duration.ZERO);
            if (!e.kind().mayHaveRun()) {
                usage.cancelUnsent(attemptId);
            }
            throw e;
        } catch (AwaitTimeoutException e) {
            slot.release(Slot.Outcome.FAILED, Duration.ZERO);
            engines.distrustConnections(engine);
            throw new EngineException(
                    EngineException.Kind.LOST, engine.id() + " has been silent", e);
        }
    }

    /** The part of the answer that the caller has. */
    private static final class Answer {
        private final ChatRequest request;
        private final AnswerSink sink;
        private final StringBuilder text = new StringBuilder();
        private long firstPieceAt;

        Answer(ChatRequest request, AnswerSink sink) {
            this.request = request;
            this.sink = sink;
        }

        String text() {
            return text.toString();
        }

        Duration firstTokenSince(long start) {
            return firstPieceAt == 0 ? Duration.ZERO : Duration.ofNanos(firstPieceAt - start);
        }

        Usage copy(EngineStream stream, Duration stallTimeout) {
            long last = 0;
            while (true) {
                EngineEvent event = Await.result(stream.next(), stallTimeout);
                switch (event) {
                    case EngineEvent.Piece p -> {
                        if (p.offset() > last) {
                            last = p.offset();
                            forward(p);
                        }
                    }
                    case EngineEvent.End end -> {
                        sink.end(end.usage());
                        return end.usage();
                    }
                    case EngineEvent.KeepAlive k -> {}
                }
            }
        }

        private void forward(EngineEvent.Piece piece) {
            if (firstPieceAt == 0) {
                firstPieceAt = System.nanoTime();
            }
            text.append(piece.text());
            sink.piece(piece);
        }
    }
}
