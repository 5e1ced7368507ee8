package org.godwithoist.dispatch;

/**
 * What a daemon knows of the successful responses of a route.
 *
 * @param endsAreUsual whether a target has stated the end of one lately
 * @param bodies number of bodies whose sizes are known, at most {@link BodySizes#MIN_COUNT}
 */
public record RouteResponses(boolean endsAreUsual, int bodies) {
    /** A route without a known response. */
    public static final RouteResponses NONE = new RouteResponses(false, 0);
}
