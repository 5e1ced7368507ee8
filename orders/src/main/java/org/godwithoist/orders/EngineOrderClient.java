package org.godwithoist.orders;

import io.smallrye.mutiny.Uni;
import org.godwithoist.membership.Target;

/** Sends orders to engines; each wire protocol has its implementation. */
public interface EngineOrderClient {
    /** Response of an engine to an order. */
    enum Result {
        /** The engine executed the order. */
        DONE,
        /** The engine has received a higher fencing number, so another daemon holds the lease. */
        FENCED;
    }

    /**
     * Sends an order. The result fails if the engine does not respond; the order may then be
     * retried.
     *
     * @param fencing fencing number of the sender's lease
     */
    Uni<Result> send(Target engine, EngineOrder order, long fencing);
}
