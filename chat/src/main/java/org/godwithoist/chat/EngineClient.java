package org.godwithoist.chat;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.accounting.Usage;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.membership.Target;

/** Client of the model engines. Thread-safe; failures are {@link EngineException}s. */
public interface EngineClient {
    /**
     * Sends a request. Cancelling the future resets the request, so that it cannot run later; a
     * stream that opens during the cancellation is closed. The streams are futures, not Unis,
     * because a Uni drops an item that arrives during its cancellation.
     *
     * @param attempt id under which the engine records the usage
     * @param request the caller's request
     * @param alreadySent text that the caller has already received from another engine; empty if
     *     none
     */
    CompletableFuture<EngineStream> open(
            Target engine, RequestId attempt, ChatRequest request, String alreadySent);

    /** Resumes the stream of an attempt after an offset, over a new connection. */
    CompletableFuture<EngineStream> resume(Target engine, RequestId attempt, long afterOffset);

    /**
     * Cancels an attempt; returns the usage that the engine recorded, or empty if it does not know
     * the attempt.
     */
    Uni<Optional<Usage>> cancel(Target engine, RequestId attempt);

    /**
     * Closes the idle connections to an engine. Called when one connection became unresponsive,
     * because the others may be dead too.
     */
    void discardConnections(Target engine);

    /** Returns whether the engine knows an attempt, running or finished. */
    Uni<Boolean> hasAttempt(Target engine, RequestId attempt);

    /** Returns the attempts that run at an engine. The list lags by a few hundred milliseconds. */
    Uni<List<RequestId>> runningAttempts(Target engine);

    /** Exports the prompt cache of a chat, so that another engine can import it. */
    Uni<CacheExport> exportCache(Target engine, ChatId chat);

    /** Imports an exported prompt cache. */
    Uni<Void> importCache(Target engine, CacheExport export);

    /**
     * Returns the cache events after a sequence number, 0 for all; events may be late or missing.
     */
    Uni<List<CacheEvent>> cacheEvents(Target engine, long afterSequence);

    /**
     * An exported prompt cache.
     *
     * @param object name of the exported object
     * @param tokens tokens in it
     */
    record CacheExport(String object, long tokens) {}

    /**
     * A change of an engine's prompt cache.
     *
     * @param sequence position in the engine's list of events
     * @param stored true if tokens of the chat were stored, false if the chat was evicted
     * @param chat chat concerned
     * @param tokens number of tokens stored or evicted
     */
    record CacheEvent(long sequence, boolean stored, ChatId chat, long tokens) {}
}
