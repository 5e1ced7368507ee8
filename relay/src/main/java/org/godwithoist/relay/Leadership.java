package org.godwithoist.relay;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;

/**
 * Who leads this daemon's failure domain now.
 *
 * @param leader address of the leader; empty if this daemon leads, or if the fleet has no leaders
 * @param leads whether this daemon leads
 */
public record Leadership(Supplier<Optional<Endpoint>> leader, BooleanSupplier leads) {}
