package org.godwithoist.services;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;

/**
 * Creates and completes claims. A completion that the store does not accept is kept in memory and
 * retried, so that an outage does not leave a claim running. Thread-safe.
 */
public final class Claims implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration FIRST_POLL = Duration.ofMillis(50);

    /** Maximum interval between two reads of a claim whose attempt runs elsewhere. */
    private static final Duration LONGEST_POLL = Duration.ofSeconds(2);

    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration SWEEP_INTERVAL = Duration.ofHours(1);

    /**
     * An insert whose response was lost may take effect late; until this time has passed, an absent
     * row is checked again.
     */
    private static final Duration LATE_INSERT = Duration.ofSeconds(30);

    /**
     * Limit of pending completions; with a response of at most 16 KiB each they take at most 32
     * MiB.
     */
    private static final int MAX_WAITING = 2_000;

    private final ClaimStore store;
    private final MemberDirectory members;
    private final InstantSource clock;
    private final Ticker ticker;
    private final Map<RequestId, WaitingEnd> waiting = new ConcurrentHashMap<>();
    private volatile Thread task;

    /** The completion of a claim that the store has not accepted yet. */
    private record WaitingEnd(
            ClaimKey key,
            RequestId attempt,
            ClaimEvent event,
            Optional<StoredAnswer> answer,
            Deadline absentUntil) {}

    /** How to proceed with a request that has an idempotency key. */
    public sealed interface Start {
        /** Run the attempt of this claim. */
        record Run(ClaimKey key, Claim claim, long version) implements Start {}

        /** Send this stored response. */
        record Replay(StoredAnswer answer) implements Start {}
    }

    /**
     * Creates the claims of one daemon; {@link #start(Supplier)} starts the task that retries
     * completions.
     */
    public Claims(ClaimStore store, MemberDirectory members, InstantSource clock, Ticker ticker) {
        this.store = store;
        this.members = members;
        this.clock = clock;
        this.ticker = ticker;
    }

    // ---- claim

    /**
     * Returns whether no claim exists for a key. A request that would be rejected anyway checks
     * this first, which saves the two writes of a claim and its release.
     *
     * @throws RequestException if the store does not respond
     */
    public boolean isFree(ClaimKey key) {
        try {
            return store.read(key).isEmpty();
        } catch (RuntimeException e) {
            throw storeUnavailable(e);
        }
    }

    /**
     * Claims a key, or waits for the result of the attempt that has claimed it.
     *
     * @param attempt id of the attempt, never used before
     * @throws RequestException if the request must not run
     */
    public Start start(ClaimKey key, CallHash hash, RequestId attempt, Deadline deadline) {
        Member self = members.self();
        Claim claim =
                Claim.running(attempt, hash, self.host(), self.incarnation(), clock.instant());
        try {
            return claim(key, claim, deadline);
        } catch (RequestException e) {
            throw e;
        } catch (RuntimeException e) {
            // The insert may have taken effect, or may still do so.
            endLater(
                    new WaitingEnd(
                            key, attempt, ClaimEvent.RELEASE, Optional.empty(), lateInsert()));
            throw storeUnavailable(e);
        }
    }

    private static RequestException storeUnavailable(RuntimeException cause) {
        return RequestException.notRun(
                        ErrorCode.STORE_UNAVAILABLE,
                        "the store of claims does not answer; this attempt was not run")
                .withRetryAfter(Duration.ofSeconds(1))
                .withCause(cause);
    }

    private Start claim(ClaimKey key, Claim claim, Deadline deadline) {
        OptionalLong inserted = store.replace(key, ClaimStore.NONE, Optional.of(claim));
        Duration poll = FIRST_POLL;
        while (inserted.isEmpty()) {
            Optional<ClaimStore.Stored> found = store.read(key);
            long version = found.map(ClaimStore.Stored::version).orElse(ClaimStore.NONE);
            boolean free = found.isEmpty() || found.get().claim().expired(clock.instant());
            if (free) {
                inserted = store.replace(key, version, Optional.of(claim));
                continue;
            }
            Optional<Start> start = resolve(found.get().claim(), claim.hash(), deadline);
            if (start.isPresent()) {
                return start.get();
            }
            Tasks.sleep(deadline.cap(poll));
            poll =
                    poll.multipliedBy(2).compareTo(LONGEST_POLL) < 0
                            ? poll.multipliedBy(2)
                            : LONGEST_POLL;
        }
        return new Start.Run(key, claim, inserted.getAsLong());
    }

    /** Decides how to treat a request whose key is claimed; empty while the attempt is running. */
    private Optional<Start> resolve(Claim found, CallHash hash, Deadline deadline) {
        if (!found.hash().equals(hash)) {
            throw RequestException.notRun(
                    ErrorCode.CONFLICT, "the key was used for another call within 24 h");
        }
        return switch (found.state().verdict()) {
            case REPLAY -> Optional.of(new Start.Replay(found.answer().orElseThrow()));
            case REFUSE -> throw unknownResult("the first attempt ended without a known result");
            case WAIT -> {
                if (holderIsGone(found)) {
                    throw unknownResult("the daemon that ran the first attempt is gone");
                }
                if (deadline.isExpired()) {
                    throw RequestException.unknown(
                                    ErrorCode.DEADLINE_EXCEEDED,
                                    "the first attempt with this key is still running")
                            .withRetryAfter(LONGEST_POLL);
                }
                yield Optional.empty();
            }
            case RUN -> throw new IllegalStateException("a stored claim cannot be free");
        };
    }

    private static RequestException unknownResult(String reason) {
        return RequestException.unknown(
                ErrorCode.TARGET_FAILED, reason + "; the call is not run again");
    }

    private boolean holderIsGone(Claim claim) {
        boolean restarted =
                members.find(claim.holder())
                        .map(m -> m.incarnation() > claim.incarnation())
                        .orElse(true);
        return restarted || members.isUnresponsive(claim.holder());
    }

    // ---- completion

    /**
     * Completes the claim of an attempt that this daemon ran. If the store does not accept it, the
     * completion is retried later.
     */
    public void end(Start.Run run, ClaimEvent event, Optional<StoredAnswer> answer) {
        try {
            OptionalLong ended =
                    store.replace(run.key(), run.version(), run.claim().after(event, answer));
            if (ended.isEmpty()) {
                LOG.atWarning().log("the claim of attempt %s is gone", run.claim().attempt());
            }
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log(
                    "the end of attempt %s waits for the store", run.claim().attempt());
            endLater(
                    new WaitingEnd(
                            run.key(),
                            run.claim().attempt(),
                            event,
                            shortened(answer),
                            lateInsert()));
        }
    }

    /**
     * Reads the body of a stored response; empty if it was not retained.
     *
     * @throws RequestException if the object store does not respond
     */
    public Optional<byte[]> body(StoredAnswer answer) {
        try {
            return store.body(answer);
        } catch (RuntimeException e) {
            throw new RequestException(
                            ErrorCode.STORE_UNAVAILABLE,
                            answer.head().runState(),
                            "the stored answer cannot be read")
                    .withRetryAfter(Duration.ofSeconds(1))
                    .withCause(e);
        }
    }

    private Deadline lateInsert() {
        return Deadline.after(LATE_INSERT, ticker);
    }

    /**
     * Drops the body of a long response, because many completions may accumulate during an outage.
     */
    private static Optional<StoredAnswer> shortened(Optional<StoredAnswer> answer) {
        return answer.map(
                a -> a.place() == StoredAnswer.Place.OBJECT ? StoredAnswer.notKept(a.head()) : a);
    }

    private void endLater(WaitingEnd end) {
        if (waiting.size() >= MAX_WAITING) {
            LOG.atWarning().log("too many ends wait; attempt %s stays claimed", end.attempt());
            return;
        }
        waiting.put(end.attempt(), end);
    }

    // ---- retries and expiry

    /**
     * Starts the task that retries completions and deletes expired claims.
     *
     * @param workspaces workspaces whose claims are checked for expiry
     */
    public void start(Supplier<Collection<WorkspaceId>> workspaces) {
        task =
                Tasks.start(
                        "claims",
                        () -> {
                            Deadline sweep = Deadline.after(SWEEP_INTERVAL, ticker);
                            while (Tasks.sleep(REPEAT_INTERVAL)) {
                                repeatEnds();
                                if (sweep.isExpired()) {
                                    sweep = Deadline.after(SWEEP_INTERVAL, ticker);
                                    deleteExpired(workspaces.get());
                                }
                            }
                        });
    }

    /** Stops the task; pending completions are lost. */
    @Override
    public void close() {
        if (task != null) {
            task.interrupt();
        }
    }

    /** Returns the number of completions that the store has not accepted yet. */
    public int waitingEnds() {
        return waiting.size();
    }

    /** Retries each pending completion once; returns early if the store does not respond. */
    public void repeatEnds() {
        for (WaitingEnd end : List.copyOf(waiting.values())) {
            try {
                if (repeat(end)) {
                    waiting.remove(end.attempt());
                }
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log("the store does not answer yet");
                return;
            }
        }
    }

    private boolean repeat(WaitingEnd end) {
        Optional<ClaimStore.Stored> found = store.read(end.key());
        if (found.isEmpty()) {
            return end.absentUntil().isExpired();
        }
        Claim claim = found.get().claim();
        if (!claim.isRunning(end.attempt())) {
            return true;
        }
        Optional<Claim> next = claim.after(end.event(), end.answer());
        return store.replace(end.key(), found.get().version(), next).isPresent();
    }

    /** Deletes expired claims. Only the first responsive member of the fleet does so. */
    void deleteExpired(Collection<WorkspaceId> workspaces) {
        boolean first =
                members.members().stream()
                        .map(Member::host)
                        .filter(h -> !members.isUnresponsive(h))
                        .min(Comparator.naturalOrder())
                        .map(h -> h.equals(members.self().host()))
                        .orElse(false);
        if (!first) {
            return;
        }
        for (WorkspaceId w : workspaces) {
            try {
                store.deleteCreatedBefore(w, clock.instant().minus(Claim.TIME_TO_LIVE));
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log("cannot delete expired claims of %s", w);
            }
        }
    }
}
