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
    private static final Duration SETTLEMENT_RETRY_INTERVAL = Duration.ofMillis(500);

    private final ChatContext context;
    private final SharedRequestState shared;
    private final Target engine;
    private final AttemptId id;
    private final Optional<Slot> slot;
    private final ReorderBuffer reorderBuffer = new ReorderBuffer();
    private final long startNanos;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final CompletableFuture<Usage> reportedUsage = new CompletableFuture<>();
    private long firstChunkNanos;
    private boolean sent;

    /**
     * Creates an attempt.
     *
     * @param slot slot of the attempt; empty if another daemon holds it and records the usage
     */
    Attempt(
            ChatContext context,
            SharedRequestState shared,
            Target engine,
            AttemptId id,
            Optional<Slot> slot) {
        this.context = context;
        this.shared = shared;
        this.engine = engine;
        this.id = id;
        this.slot = slot;
        startNanos = context.ticker().nanos();
    }

    Target engine() {
        return engine;
    }

    AttemptId id() {
        return id;
    }

    ReorderBuffer reorderBuffer() {
        return reorderBuffer;
    }

    /** Returns whether another daemon holds the slot and records the usage. */
    boolean isTakenOver() {
        return slot.isEmpty();
    }

    /** Records that the engine may have received the request. */
    void markSent() {
        sent = true;
    }

    void markFirstChunk() {
        if (firstChunkNanos == 0) {
            firstChunkNanos = context.ticker().nanos();
        }
    }

    /** Returns the time from the start of the attempt to its first chunk; zero if none arrived. */
    Duration timeToFirstChunk() {
        return Duration.ofNanos(
                firstChunkNanos == 0 ? 0 : Math.max(1, firstChunkNanos - startNanos));
    }

    /** Returns the usage reported by the engine; empty until it is known. */
    Optional<Usage> reportedUsage() {
        return Optional.ofNullable(reportedUsage.getNow(null));
    }

    // ---- end of the attempt

    /** Ends an attempt whose response is complete. */
    void complete(Usage usage) {
        end(Slot.Outcome.COMPLETED, Optional.of(usage));
    }

    /** Ends an attempt that the engine certainly did not run. */
    void markNotRun(Slot.Outcome outcome) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        reportedUsage.complete(Usage.NONE);
        if (slot.isPresent()) {
            context.usage().cancelUnsent(id.asRequestId());
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
            markNotRun(outcome);
            return;
        }
        if (!ended.get()) {
            shared.inProgress().incrementAndGet();
            Tasks.start("cancel-" + id.asRequestId(), () -> runSettlement(outcome));
        }
    }

    private void runSettlement(Slot.Outcome outcome) {
        try {
            settle(outcome);
        } finally {
            shared.inProgress().decrementAndGet();
        }
    }

    private void settle(Slot.Outcome outcome) {
        Deadline deadline = Deadline.after(context.timings().settlementTimeout(), context.ticker());
        do {
            try {
                Optional<Usage> usage =
                        Await.result(
                                context.engines().cancel(engine, id.asRequestId()),
                                context.timings().engineCallTimeout());
                // An engine that does not know the attempt never received it, unless chunks have
                // arrived: then the engine has restarted since, and the usage stays unsettled.
                boolean neverRan = usage.isEmpty() && firstChunkNanos == 0;
                end(outcome, neverRan ? Optional.of(Usage.NONE) : usage);
                return;
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "engine %s did not report the usage of attempt %s; asking again",
                        engine.id(), id.asRequestId());
            }
        } while (Tasks.sleep(SETTLEMENT_RETRY_INTERVAL) && !deadline.isExpired());
        LOG.atWarning().log(
                "cannot settle the usage of attempt %s: engine %s did not report it in time",
                id.asRequestId(), engine.id());
        end(outcome, Optional.empty());
    }

    private void end(Slot.Outcome outcome, Optional<Usage> usage) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        usage.ifPresent(reportedUsage::complete);
        if (slot.isPresent()) {
            usage.ifPresentOrElse(
                    u -> context.usage().close(id.asRequestId(), u),
                    () -> context.usage().markLost(id.asRequestId()));
            slot.get().release(outcome, usage.map(this::prefillTime).orElse(Duration.ZERO));
        }
    }

    private Duration prefillTime(Usage usage) {
        long uncached = Math.max(0, usage.promptTokens() - usage.cachedTokens());
        return PrefillTime.perThousandTokens(timeToFirstChunk(), uncached);
    }
}
