package org.godwithoist.membership;

import java.util.Comparator;
import org.godwithoist.core.id.OperatorName;

/**
 * An order of an operator that takes a subject out of service or back in.
 *
 * @param subject failure domain or host
 * @param state state that the order sets
 * @param stamp decides which order for a subject is in force
 * @param operator who gave it
 */
public record Order(
        OrderSubject subject, OrderState state, OrderStamp stamp, OperatorName operator) {
    // A daemon that restarts while it has no contact starts its clock again, so two different
    // orders can carry the same stamp. Comparing the remaining fields keeps all daemons in
    // agreement; OUT comes after IN because it is the safe state.
    private static final Comparator<Order> PRECEDENCE =
            Comparator.comparing(Order::stamp)
                    .thenComparing(Order::state)
                    .thenComparing(o -> o.operator().value());

    /** Returns whether this order replaces another one for the same subject. */
    public boolean supersedes(Order other) {
        return PRECEDENCE.compare(this, other) > 0;
    }
}
