package org.godwithoist.chat;

import io.smallrye.mutiny.Uni;

/** An open stream from an engine. Not thread-safe: one task reads it. */
public interface EngineStream extends AutoCloseable {
    /**
     * Returns the next event. It fails with {@link EngineException} if the connection is lost;
     * after {@link EngineEvent.End} there are no further events.
     */
    Uni<EngineEvent> next();

    /** Closes the connection; does not cancel the request at the engine. */
    @Override
    void close();
}
