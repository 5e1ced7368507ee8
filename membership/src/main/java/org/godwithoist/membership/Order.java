package org.godwithoist.membership;

import java.util.Comparator;
import org.godwithoist.core.id.OperatorName;

/**
 * Order of an operator that takes a subject out of service or back in.
 *
 * @param subject failure domain or host
 * @param state state that the order sets
 * @param stamp determines which order for a subject is in force
 * @param operator operator who issued it
 */
public record Order(
        OrderSubject subject, OrderState state, OrderStamp stamp, OperatorName operator) {
    // The clock of a daemon that restarts without contact starts at zero again, so two different
    // orders can have the same stamp. Comparing the remaining fields makes all daemons choose the
    // same order. OUT sorts after IN because it is the safe state.
    private static final Comparator<Order> PRECEDENCE =
            Comparator.comparing(Order::stamp)
                    .thenComparing(Order::state)
                    .thenComparing(o -> o.operator().value());

    /** Returns whether this order takes precedence over another one for the same subject. */
    public boolean supersedes(Order other) {
        return PRECEDENCE.compare(this, other) > 0;
    }
}
