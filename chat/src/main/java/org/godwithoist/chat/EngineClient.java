package org.godwithoist.chat;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.godwithoist.accounting.Usage;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.membership.Target;

/** Calls model engines. Failures are {@link EngineException}s. */
public interface EngineClient {
    /**
     * Sends a request.
     *
     * @param attempt id under which the engine counts the work
     * @param request the caller's request
     * @param alreadySent text that the caller has already received from another engine
     */
    Uni<EngineStream> open(
            Target engine, RequestId attempt, ChatRequest request, String alreadySent);

    /** Resumes a request's stream after an offset, over a new connection. */
    Uni<EngineStream> resume(Target engine, RequestId attempt, long afterOffset);

    /**
     * Cancels a request; returns what the engine counted, or empty if it does not know the request.
     */
    Uni<Optional<Usage>> cancel(Target engine, RequestId attempt);

    /**
     * Closes the idle connections to an engine. Called when one connection went silent, because the
     * others may be dead too.
     */
    void distrustConnections(Target engine);

    /** Returns whether the engine knows a request, running or finished. */
    Uni<Boolean> knows(Target engine, RequestId attempt);

    /** Returns the requests that run at an engine. The list lags by some hundred milliseconds. */
    Uni<List<RequestId>> running(Target engine);

    /** Exports the cache of a chat. */
    Uni<CacheExport> exportCache(Target engine, ChatId chat);

    /** Imports an exported cache. */
    Uni<Void> importCache(Target engine, CacheExport export);

    /** Returns the cache events after a sequence number; they come late and with gaps. */
    Uni<List<CacheEvent>> cacheEvents(Target engine, long afterSequence);

    /**
     * An exported cache.
     *
     * @param object name of the exported object
     * @param tokens tokens in it
     */
    record CacheExport(String object, long tokens) {}

    /**
     * A change of an engine's prompt cache.
     *
     * @param sequence position in the engine's list of events
     * @param stored true if the chat was stored, false if it was evicted
     * @param chat chat concerned
     * @param tokens tokens concerned
     */
    record CacheEvent(long sequence, boolean stored, ChatId chat, long tokens) {}
}
