package org.godwithoist.routing;

import org.godwithoist.membership.Target;

/**
 * Engine and cache strategy with which a request can be served.
 *
 * @param target engine that would serve it
 * @param strategy how the engine would get the KV cache of the chat's history
 * @param waitMs expected wait for a slot, in milliseconds
 * @param costMs expected time to the first token including the wait, in milliseconds
 */
public record RouteOption(Target target, CacheStrategy strategy, double waitMs, double costMs) {}
