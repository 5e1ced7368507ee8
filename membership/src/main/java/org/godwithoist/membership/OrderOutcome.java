package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.HostId;

/**
 * Outcome of an order that was issued at this daemon.
 *
 * @param order the order
 * @param supersededBy the order in force instead, if another order has a higher stamp
 * @param unacknowledged members of the own group that have not acknowledged the order, in host
 *     order
 * @param unconfirmed other groups that have not confirmed that all their members hold the order
 */
public record OrderOutcome(
        Order order,
        Optional<Order> supersededBy,
        List<HostId> unacknowledged,
        List<GroupId> unconfirmed) {}
