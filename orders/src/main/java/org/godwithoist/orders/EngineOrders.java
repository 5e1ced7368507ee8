package org.godwithoist.orders;

import io.smallrye.mutiny.Uni;
import org.godwithoist.membership.Target;

/** Sends orders to engines. Encodings implement it. */
public interface EngineOrders {
    /** Result of an order. */
    enum Result {
        /** The engine carried it out. */
        DONE,
        /** The engine has seen a higher fencing number, so another daemon holds the lease. */
        FENCED;
    }

    /** Sends an order; fails if the engine does not answer, in which case it may be repeated. */
    Uni<Result> send(Target engine, EngineOrder order, long fencing);
}
