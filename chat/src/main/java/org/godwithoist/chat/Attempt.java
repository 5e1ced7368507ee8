package org.godwithoist.chat;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.godwithoist.accounting.Usage;
import org.godwithoist.admission.Slot;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.membership.Target;
import org.godwithoist.routing.PrefillTime;

/**
 * One attempt of a request at one engine: its slot, its usage record and the order of its chunks.
 * However the attempt ends, the slot is released and the usage record closed exactly once.
 */
final class Attempt {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration SETTLE_INTERVAL = Duration.ofMillis(500);

    private final ChatContext context;
    private final Workload workload;
    private final Target engine;
    private final AttemptId id;
    private final Optional<Slot> slot;
    private final PieceOrder order = new PieceOrder();
    private final long startedAt;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final CompletableFuture<Usage> counted = new CompletableFuture<>();
    private long firstPieceAt;
    private boolean sent;

    /**
     * Creates an attempt.
     *
     * @param slot slot of the attempt; empty if another daemon holds it and records the usage
     */
    Attempt(
            ChatContext context,
            Workload workload,
            Target engine,
            AttemptId id,
            Optional<Slot> slot) {
        this.context = context;
        this.workload = workload;
        this.engine = engine;
        this.id = id;
        this.slot = slot;
        startedAt = context.ticker().nanos();
    }

    Target engine() {
        return engine;
    }

    AttemptId id() {
        return id;
    }

    PieceOrder order() {
        return order;
    }

    /** Returns whether another daemon holds the slot and records the usage. */
    boolean relayed() {
        return slot.isEmpty();
    }

    /** Records that the engine may have received the request. */
    void markSent() {
        sent = true;
    }

    void markPiece() {
        if (firstPieceAt == 0) {
            firstPieceAt = context.ticker().nanos();
        }
    }

    Duration firstToken() {
        return Duration.ofNanos(firstPieceAt == 0 ? 0 : Math.max(1, firstPieceAt - startedAt));
    }

    /** Returns the usage reported by the engine; empty until it is known. */
    Optional<Usage> counted() {
        return Optional.ofNullable(counted.getNow(null));
    }

    // ---- end of the attempt

    /** Ends an attempt whose response is complete. */
    void finished(Usage usage) {
        end(Slot.Outcome.COMPLETED, Optional.of(usage));
    }

    /** Ends an attempt that the engine certainly did not run. */
    void notRun(Slot.Outcome outcome) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        counted.complete(Usage.NONE);
        if (slot.isPresent()) {
            context.usage().cancelUnsent(id.id());
            slot.get().release(outcome, Duration.ZERO);
        }
    }

    /**
     * Ends an attempt that may still be running: cancels it at the engine in a separate task and
     * closes the usage record with the engine's figures. The slot is held until the engine
     * confirms, because the engine may still be busy with the request.
     */
    void cancel(Slot.Outcome outcome) {
        if (!sent) {
            notRun(outcome);
            return;
        }
        if (!ended.get()) {
            workload.inProgress().incrementAndGet();
            Tasks.start("cancel-" + id.id(), () -> settleAndLeave(outcome));
        }
    }

    private void settleAndLeave(Slot.Outcome outcome) {
        try {
            settle(outcome);
        } finally {
            workload.inProgress().decrementAndGet();
        }
    }

    private void settle(Slot.Outcome outcome) {
        Deadline deadline = Deadline.after(context.timings().settle(), context.ticker());
        do {
            try {
                Optional<Usage> usage =
                        Await.result(
                                context.engines().cancel(engine, id.id()),
                                context.timings().engineCall());
                // An engine that never received the request has no usage for it. If the attempt
                // produced chunks, the engine has restarted since, and its usage stays unsettled.
                boolean nothing = usage.isEmpty() && firstPieceAt == 0;
                end(outcome, nothing ? Optional.of(Usage.NONE) : usage);
                return;
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log("%s did not settle %s", engine.id(), id.id());
            }
        } while (Tasks.sleep(SETTLE_INTERVAL) && !deadline.isExpired());
        LOG.atWarning().log("the usage of %s at %s is unsettled", id.id(), engine.id());
        end(outcome, Optional.empty());
    }

    private void end(Slot.Outcome outcome, Optional<Usage> usage) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        usage.ifPresent(counted::complete);
        if (slot.isPresent()) {
            usage.ifPresentOrElse(
                    u -> context.usage().close(id.id(), u), () -> context.usage().lose(id.id()));
            slot.get().release(outcome, usage.map(this::speed).orElse(Duration.ZERO));
        }
    }

    private Duration speed(Usage usage) {
        long uncached = Math.max(0, usage.promptTokens() - usage.cachedTokens());
        return PrefillTime.perThousandTokens(firstToken(), uncached);
    }
}
