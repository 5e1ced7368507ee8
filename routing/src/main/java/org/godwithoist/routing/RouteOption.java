package org.godwithoist.routing;

import org.godwithoist.membership.Target;

/**
 * A way to serve a request.
 *
 * @param target engine that would serve it
 * @param strategy how the history gets there
 * @param waitMs expected wait for a slot, in milliseconds
 * @param costMs expected time to the first token, the wait included, in milliseconds
 */
public record RouteOption(Target target, CacheStrategy strategy, double waitMs, double costMs) {}
