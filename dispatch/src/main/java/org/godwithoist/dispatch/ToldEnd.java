package org.godwithoist.dispatch;

import org.godwithoist.catalog.Route;
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
     * Returns how the end of a response is told that no other target is asked about. A caller can
     * repeat a request that may run again, so it gets no body in doubt where that is unusual,
     * unless the target has ended two of the same size. A request that may run only once has no
     * other response, and the events of a stream have been sent by then.
     *
     * @param evidence what shows whether the response has reached its end
     * @param route route of the request
     * @param target target that has sent the response
     */
    public static ToldEnd of(
            EndEvidence evidence, Route route, Target target, StatedEnds statedEnds) {
        if (evidence.isWhole()) {
            return STATED;
        }
        if (!evidence.mayBeWhole()) {
            return BROKEN;
        }
        boolean isReplaceable = route.allowsReexecution() && !route.kind().isEventStream();
        boolean isUnusual =
                statedEnds.areUsual(target.entry().service(), route.id())
                        || target.isKnownToCutBodies();
        boolean isRepeated = evidence == EndEvidence.EQUAL_UNSTATED_COPY;
        return isReplaceable && isUnusual && !isRepeated ? BROKEN : UNSTATED;
    }
}
