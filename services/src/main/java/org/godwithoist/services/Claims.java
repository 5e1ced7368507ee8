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

    private static final Duration MIN_POLL_INTERVAL = Duration.ofMillis(50);

    /** Maximum interval between two reads of a claim whose attempt runs elsewhere. */
    private static final Duration MAX_POLL_INTERVAL = Duration.ofSeconds(2);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration EXPIRY_INTERVAL = Duration.ofHours(1);

    /**
     * An insert whose response was lost may take effect late; until this time has passed, an absent
     * row is checked again.
     */
    private static final Duration LATE_INSERT_WINDOW = Duration.ofSeconds(30);

    /**
     * Limit of pending completions; with a response of at most 16 KiB each they take at most 32
     * MiB.
     */
    private static final int MAX_PENDING_COMPLETIONS = 2_000;

    private final ClaimStore store;
    private final MemberDirectory members;
    private final InstantSource clock;
    private final Ticker ticker;
    private final Map<RequestId, PendingCompletion> pending = new ConcurrentHashMap<>();
    private volatile Thread task;

    /**
     * The completion of a claim that the store has not accepted yet.
     *
     * @param event event to apply to the claim if the attempt still runs under it
     * @param absentUntil deadline for a late insert: until then an absent row is checked again,
     *     afterwards it ends the retries
     */
    private record PendingCompletion(
            ClaimKey key,
            RequestId attempt,
            ClaimEvent event,
            Optional<StoredResponse> response,
            Deadline absentUntil) {}

    /** How to proceed with a request that has an idempotency key. */
    public sealed interface Decision {
        /** Run the attempt of this claim. */
        record Run(ClaimKey key, Claim claim, long version) implements Decision {}

        /** Send this stored response. */
        record Replay(StoredResponse response) implements Decision {}
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
     * Returns whether no claim exists for a key. If no target has capacity for a request, this
     * check saves the two writes of a claim and its release.
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
    public Decision acquire(ClaimKey key, RequestHash hash, RequestId attempt, Deadline deadline) {
        Member self = members.self();
        Claim claim =
                Claim.running(attempt, hash, self.host(), self.incarnation(), clock.instant());
        try {
            return insertOrWait(key, claim, deadline);
        } catch (RequestException e) {
            throw e;
        } catch (RuntimeException e) {
            // The insert may have taken effect, or may still do so.
            retryLater(
                    new PendingCompletion(
                            key,
                            attempt,
                            ClaimEvent.RELEASE,
                            Optional.empty(),
                            lateInsertDeadline()));
            throw storeUnavailable(e);
        }
    }

    private static RequestException storeUnavailable(RuntimeException cause) {
        return RequestException.notRun(
                        ErrorCode.STORE_UNAVAILABLE,
                        "the claim store does not respond; this attempt was not run")
                .withRetryAfter(Duration.ofSeconds(1))
                .withCause(cause);
    }

    private Decision insertOrWait(ClaimKey key, Claim claim, Deadline deadline) {
        OptionalLong insertedVersion =
                store.replace(key, ClaimStore.ABSENT_VERSION, Optional.of(claim));
        Duration pollInterval = MIN_POLL_INTERVAL;
        while (insertedVersion.isEmpty()) {
            Optional<ClaimStore.StoredClaim> found = store.read(key);
            long version =
                    found.map(ClaimStore.StoredClaim::version).orElse(ClaimStore.ABSENT_VERSION);
            boolean free = found.isEmpty() || found.get().claim().isExpired(clock.instant());
            if (free) {
                insertedVersion = store.replace(key, version, Optional.of(claim));
                continue;
            }
            Optional<Decision> decision = resolve(found.get().claim(), claim.hash(), deadline);
            if (decision.isPresent()) {
                return decision.get();
            }
            Tasks.sleep(deadline.cap(pollInterval));
            pollInterval =
                    pollInterval.multipliedBy(2).compareTo(MAX_POLL_INTERVAL) < 0
                            ? pollInterval.multipliedBy(2)
                            : MAX_POLL_INTERVAL;
        }
        return new Decision.Run(key, claim, insertedVersion.getAsLong());
    }

    /** Decides how to treat a request whose key is claimed; empty while the attempt is running. */
    private Optional<Decision> resolve(Claim found, RequestHash hash, Deadline deadline) {
        if (!found.hash().equals(hash)) {
            throw RequestException.notRun(
                    ErrorCode.CONFLICT,
                    "the idempotency key was used for a different request within 24 h");
        }
        return switch (found.state().verdict()) {
            case REPLAY -> Optional.of(new Decision.Replay(found.response().orElseThrow()));
            case REJECT -> throw unknownResult("the first attempt ended without a known result");
            case WAIT -> {
                if (holderIsUnavailable(found)) {
                    throw unknownResult("the daemon that ran the first attempt is unavailable");
                }
                if (deadline.isExpired()) {
                    throw RequestException.unknown(
                                    ErrorCode.DEADLINE_EXCEEDED,
                                    "the first attempt with this idempotency key is still running")
                            .withRetryAfter(MAX_POLL_INTERVAL);
                }
                yield Optional.empty();
            }
            case RUN -> throw new IllegalStateException("a stored claim cannot be free");
        };
    }

    private static RequestException unknownResult(String reason) {
        return RequestException.unknown(
                ErrorCode.TARGET_FAILED, reason + "; the request is not run again");
    }

    private boolean holderIsUnavailable(Claim claim) {
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
    public void complete(Decision.Run run, ClaimEvent event, Optional<StoredResponse> response) {
        try {
            OptionalLong completedVersion =
                    store.replace(run.key(), run.version(), run.claim().after(event, response));
            if (completedVersion.isEmpty()) {
                LOG.atWarning().log(
                        "cannot complete the claim of attempt %s: it was changed or deleted in the"
                                + " store",
                        run.claim().attempt());
            }
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).log(
                    "cannot write the completion of the claim of attempt %s to the store; retrying",
                    run.claim().attempt());
            retryLater(
                    new PendingCompletion(
                            run.key(),
                            run.claim().attempt(),
                            event,
                            withoutLongBody(response),
                            lateInsertDeadline()));
        }
    }

    /**
     * Reads the body of a stored response; empty if it was not retained.
     *
     * @throws RequestException if the object store does not respond
     */
    public Optional<byte[]> body(StoredResponse response) {
        try {
            return store.body(response);
        } catch (RuntimeException e) {
            throw new RequestException(
                            ErrorCode.STORE_UNAVAILABLE,
                            response.head().runState(),
                            "the stored response cannot be read")
                    .withRetryAfter(Duration.ofSeconds(1))
                    .withCause(e);
        }
    }

    private Deadline lateInsertDeadline() {
        return Deadline.after(LATE_INSERT_WINDOW, ticker);
    }

    /**
     * Drops the body of a long response, because many completions may accumulate during an outage.
     */
    private static Optional<StoredResponse> withoutLongBody(Optional<StoredResponse> response) {
        return response.map(
                r ->
                        r.place() == StoredResponse.Place.OBJECT
                                ? StoredResponse.withoutBody(r.head())
                                : r);
    }

    private void retryLater(PendingCompletion completion) {
        if (pending.size() >= MAX_PENDING_COMPLETIONS) {
            LOG.atWarning().log(
                    "the limit of "
                            + MAX_PENDING_COMPLETIONS
                            + " pending completions is reached; the claim of attempt %s stays"
                            + " running until it expires",
                    completion.attempt());
            return;
        }
        pending.put(completion.attempt(), completion);
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
                            Deadline nextExpiry = Deadline.after(EXPIRY_INTERVAL, ticker);
                            while (Tasks.sleep(RETRY_INTERVAL)) {
                                retryCompletions();
                                if (nextExpiry.isExpired()) {
                                    nextExpiry = Deadline.after(EXPIRY_INTERVAL, ticker);
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
    public int pendingCompletions() {
        return pending.size();
    }

    /** Retries each pending completion once; returns early if the store does not respond. */
    public void retryCompletions() {
        for (PendingCompletion completion : List.copyOf(pending.values())) {
            try {
                if (retry(completion)) {
                    pending.remove(completion.attempt());
                }
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "cannot write pending completions of claims; retrying");
                return;
            }
        }
    }

    private boolean retry(PendingCompletion completion) {
        Optional<ClaimStore.StoredClaim> found = store.read(completion.key());
        if (found.isEmpty()) {
            return completion.absentUntil().isExpired();
        }
        Claim claim = found.get().claim();
        if (!claim.isRunning(completion.attempt())) {
            return true;
        }
        Optional<Claim> next = claim.after(completion.event(), completion.response());
        return store.replace(completion.key(), found.get().version(), next).isPresent();
    }

    /**
     * Deletes expired claims. Only the responsive member with the lowest host id does so; at other
     * daemons this has no effect.
     */
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
                LOG.atWarning().withCause(e).log(
                        "cannot delete expired claims of workspace %s; retrying in an hour", w);
            }
        }
    }
}
