package org.godwithoist.relay;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;

/**
 * Access to the current leader of this daemon's failure domain.
 *
 * @param leader address of the leader; empty if this daemon is the leader or if the fleet has no
 *     leaders
 * @param isLeader whether this daemon is the leader
 */
public record Leadership(Supplier<Optional<Endpoint>> leader, BooleanSupplier isLeader) {}
