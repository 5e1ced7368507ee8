package org.godwithoist.targets;

import org.godwithoist.catalog.EngineSpec;

/**
 * Work of one request at one target.
 *
 * @param tokens prompt tokens to process and tokens to hold
 * @param alone whether the target had little else to prefill when it was chosen, so that the time
 *     to the first byte shows its speed
 */
public record RequestWork(TokenWork tokens, boolean alone) {
    /** Work of a request of unknown size, or of a service that does not count work. */
    public static final RequestWork NONE = new RequestWork(TokenWork.NONE, false);

    /** Outstanding prefill, as a fraction of a request's own, up to which it counts as little. */
    private static final double MAX_OTHER_PREFILL_FRACTION = 0.1;

    /** Returns this work, whose response shows nothing of the speed of the service. */
    RequestWork notMeasured() {
        return new RequestWork(tokens, false);
    }

    /**
     * Returns the work of a request. Sizes beyond the memory of an engine are cut to it, so that an
     * absurd statement of a caller does not distort the sums.
     *
     * @param uncached prompt tokens that the target does not have cached
     * @param outstanding work of the target before the request
     */
    static RequestWork of(PlacementRequest request, long uncached, TokenWork outstanding) {
        long memory =
                request.service().engine().map(EngineSpec::cacheTokens).orElse(Long.MAX_VALUE);
        long prefill = Math.min(memory, uncached);
        long held = Math.min(memory, request.heldTokens());
        boolean alone = outstanding.prefill() <= MAX_OTHER_PREFILL_FRACTION * prefill;
        return new RequestWork(new TokenWork(prefill, held), alone);
    }
}
