package org.godwithoist.bundle.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.Proposal;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.json.BundleRows;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/** Head row and proposals in the table service. Every write is conditional. Thread-safe. */
public final class BundleTables {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String HEAD_KEY = "head";
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final int MAX_WRITE_ATTEMPTS = 4;

    private final TableStore store;

    /** Creates the tables without accessing the store. */
    public BundleTables(TableStore store) {
        this.store = store;
    }

    /**
     * Value with the version of its row.
     *
     * @param value decoded content of the row
     * @param version version for a conditional write; {@link Write#ABSENT} if there is no row
     */
    public record Versioned<T>(T value, long version) {}

    // ---- reads

    /**
     * Reads the head row.
     *
     * @throws RequestException with {@code STORE_UNAVAILABLE} if the store does not respond
     */
    public Versioned<Optional<Head>> head() {
        Optional<Row> row = await(store.read(Table.BUNDLE_HEAD, HEAD_KEY));
        return new Versioned<>(
                row.map(r -> decode(r, BundleRows::readHead)),
                row.map(Row::version).orElse(Write.ABSENT));
    }

    /**
     * Reads a proposal.
     *
     * @throws RequestException with {@code NOT_FOUND} if there is none, with {@code
     *     STORE_UNAVAILABLE} if the store does not respond
     */
    public Versioned<Proposal> proposal(ProposalId id) {
        Row row =
                await(store.read(Table.BUNDLE_STAGE, id.value()))
                        .orElseThrow(
                                () ->
                                        RequestException.notRun(
                                                ErrorCode.NOT_FOUND, "there is no proposal " + id));
        return new Versioned<>(decode(row, BundleRows::readProposal), row.version());
    }

    /** Reads the proposals whose ids start with a prefix, sorted by id. */
    public List<Proposal> proposals(String prefix) {
        return await(store.scan(Table.BUNDLE_STAGE, prefix)).stream()
                .map(r -> decode(r, BundleRows::readProposal))
                .toList();
    }

    /**
     * Decodes a row. A malformed row is an internal error and is not reported as findings, which
     * refer to the operator's bundle.
     */
    private static <T> T decode(Row row, Function<String, T> reader) {
        try {
            return reader.apply(row.value());
        } catch (FindingsException e) {
            throw RequestException.notRun(
                            ErrorCode.INTERNAL,
                            "row " + row.key() + " is malformed: " + e.getMessage())
                    .withCause(e);
        }
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return Await.result(future, STORE_TIMEOUT);
        } catch (StoreUnavailableException | OutcomeUnknownException | AwaitTimeoutException e) {
            throw RequestException.notRun(
                            ErrorCode.STORE_UNAVAILABLE, "the table service does not respond")
                    .withCause(e);
        }
    }

    // ---- writes

    /**
     * Writes the new stage of a proposal.
     *
     * @param next proposal whose last event has the attempt id of this write
     * @param expected version that its row must have
     * @throws RequestException see {@link #roll}
     */
    public void advance(Proposal next, long expected) {
        commit(next, List.of(stageWrite(next, expected)));
    }

    /**
     * Writes the head and the stage of its proposal in one transaction.
     *
     * @param rolled rolled proposal whose last event has the attempt id of this write
     * @param expected version that the proposal's row must have
     * @param expectedHead version that the head row must have
     * @throws RequestException with {@code CONFLICT} if another operator's write was first, with
     *     {@code STORE_UNAVAILABLE} if the store does not respond; its run state is {@code unknown}
     *     if the write may have taken effect
     */
    public void roll(Proposal rolled, long expected, long expectedHead) {
        String head = BundleRows.write(rolled.head());
        commit(
                rolled,
                List.of(
                        Write.replace(Table.BUNDLE_HEAD, HEAD_KEY, expectedHead, head),
                        stageWrite(rolled, expected)));
    }

    private static Write stageWrite(Proposal p, long expected) {
        return Write.replace(Table.BUNDLE_STAGE, p.id().value(), expected, BundleRows.write(p));
    }

    /**
     * Commits until the outcome is known or the attempts are exhausted. Retries are safe, because
     * the expected versions no longer match after the first success. The attempt id in the
     * proposal's row distinguishes this write from another operator's.
     */
    private void commit(Proposal next, List<Write> writes) {
        boolean mayBeWritten = false;
        RuntimeException lastFailure = null;
        for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
            if (i > 0 && !Tasks.sleep(RETRY_DELAY)) {
                break;
            }
            try {
                Await.result(store.commit(writes), STORE_TIMEOUT);
                return;
            } catch (ConditionFailedException e) {
                lastFailure = e;
                Optional<Boolean> written = isWritten(next);
                if (written.orElse(false)) {
                    return;
                }
                if (written.isPresent() || !mayBeWritten) {
                    throw RequestException.notRun(
                                    ErrorCode.CONFLICT,
                                    "another operator changed the proposal or the head first;"
                                            + " see status and history")
                            .withCause(e);
                }
            } catch (OutcomeUnknownException | AwaitTimeoutException e) {
                lastFailure = e;
                mayBeWritten = true;
                LOG.atInfo().log(
                        "the response to the write of proposal %s was lost; reading its row to"
                                + " learn the outcome",
                        next.id());
                if (isWritten(next).orElse(false)) {
                    return;
                }
            } catch (StoreUnavailableException e) {
                lastFailure = e;
            }
        }
        if (mayBeWritten) {
            throw RequestException.unknown(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the table service does not respond; the write may have taken effect,"
                                    + " see status")
                    .withCause(lastFailure);
        }
        throw RequestException.notRun(
                        ErrorCode.STORE_UNAVAILABLE,
                        "the table service does not respond; nothing was written")
                .withCause(lastFailure);
    }

    /**
     * Returns whether the stored row has the attempt id of the write; empty if the store does not
     * respond.
     */
    private Optional<Boolean> isWritten(Proposal next) {
        try {
            String attempt = next.events().getLast().attempt();
            return Optional.of(
                    await(store.read(Table.BUNDLE_STAGE, next.id().value()))
                            .map(r -> BundleRows.readProposal(r.value()).hasAttempt(attempt))
                            .orElse(false));
        } catch (RequestException e) {
            return Optional.empty();
        }
    }

    /**
     * Reads the rolled proposals up to a revision, newest first.
     *
     * @param head highest revision number
     * @param limit maximum number of proposals
     */
    public List<Proposal> history(long head, int limit) {
        List<Proposal> rolled = new ArrayList<>();
        for (long at = head; at >= 0 && rolled.size() < limit; at -= ProposalId.PAGE_SIZE) {
            List<Proposal> page = proposals(ProposalId.pagePrefix(at));
            for (int i = page.size() - 1; i >= 0 && rolled.size() < limit; i--) {
                if (page.get(i).stage().next().isEmpty()) {
                    rolled.add(page.get(i));
                }
            }
            if (at < ProposalId.PAGE_SIZE) {
                break;
            }
        }
        return rolled;
    }
}
