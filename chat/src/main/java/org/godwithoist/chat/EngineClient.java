package org.godwithoist.chat;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.godwithoist.accounting.Usage;
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
}
