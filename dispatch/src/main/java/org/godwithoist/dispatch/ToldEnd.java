package org.godwithoist.dispatch;

import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.targets.Target;

/** How a caller is told the end of a response. */
public enum ToldEnd {
    /** By a length or a last chunk: the response is known to be whole. */
    STATED,
    /** By the end of the connection only, as the target did: nobody has stated the end. */
    UNSTATED,
    /** Not at all: the response is broken off, or a failure is sent in its place. */
    BROKEN;

    /** Returns how the end of a response is told that is sent to its last byte. */
    static ToldEnd of(boolean stated) {
        return stated ? STATED : UNSTATED;
    }

    /**
     * Returns how the end of a successful response is told that no other target is asked about. A
     * caller can repeat a request that may run again, or resume its stream, so it is told no end in
     * doubt where that is unusual, unless the target has ended two of the same size, or all bodies
     * of the route have this size. For a stream more stated ends must be known. A request that may
     * run only once has no other response.
     *
     * @param evidence what shows whether the response has reached its end
     * @param route route of the request
     * @param target target that has sent the response
     * @param bytes size of the body
     */
    public static ToldEnd of(
            EndEvidence evidence, Route route, Target target, long bytes, StatedEnds statedEnds) {
        if (evidence.isWhole() || evidence == EndEvidence.UNUSUAL_STATED_SIZE) {
            return STATED;
        }
        if (!evidence.mayBeWhole()) {
            return BROKEN;
        }
        if (!route.allowsReexecution() || evidence == EndEvidence.EQUAL_UNSTATED_COPY) {
            return UNSTATED;
        }
        ServiceId service = target.entry().service();
        boolean areUsual = statedEnds.areUsual(service, route.id());
        BodySizes sizes = statedEnds.sizes(service, route.id());
        if (route.kind().isEventStream()) {
            // The events have been sent, and a sound stream is lost if it is broken off.
            return areUsual && sizes.areKnown() ? BROKEN : UNSTATED;
        }
        boolean isUnusual = areUsual || target.isKnownToCutBodies();
        return isUnusual && sizes.match(bytes) != BodySizes.Match.EXACT ? BROKEN : UNSTATED;
    }

    /**
     * Returns how the end of a failure is told. For a caller that can repeat its request a part of
     * a failure is worth no more than one of the daemon's own, whose end is stated.
     */
    public static ToldEnd ofFailure(EndEvidence evidence, Route route) {
        if (evidence.isWhole()) {
            return STATED;
        }
        return evidence.mayBeWhole() && !route.allowsReexecution() ? UNSTATED : BROKEN;
    }
}
