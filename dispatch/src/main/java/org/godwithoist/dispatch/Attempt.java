package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.targets.Target;

/**
 * One attempt to send a request to a target.
 *
 * @param request the request
 * @param route its route
 * @param recipient who gets the request
 * @param target the target; for {@link Recipient#DAEMON} the other daemon in the place of one
 * @param cachingEngine engine from which the target imports the prompt prefix; empty if none
 * @param workspace workspace that is charged for the request; empty on routes with public access
 * @param priority priority of the request, 0 is the highest
 * @param deadline time at which the request ends
 * @param responseTimeout longest time without a byte of the response before the attempt is
 *     abandoned; empty if the request cannot be sent to another target
 * @param resumeAfter id of the event after which the target resumes the stream; empty for the start
 * @param begunStream event stream that earlier attempts have begun; empty if none has
 * @param endInDoubt whether an earlier target has ended its response without stating the end, so
 *     that this attempt only asks for more
 * @param hasOtherTarget whether the service has another target that was not asked yet
 * @param newConnection whether the request is sent on a new connection, because an earlier attempt
 *     was made and another failure like that one must not end this one too
 * @param statedEnds remembers which services state the ends of their responses
 * @param pendingResponse marks the request as waiting for its first byte at the target
 * @param evidence what the attempt shows of the version of the target
 */
public record Attempt(
        Request request,
        Route route,
        Recipient recipient,
        Target target,
        Optional<Target> cachingEngine,
        Optional<WorkspaceId> workspace,
        int priority,
        Deadline deadline,
        Optional<Duration> responseTimeout,
        OptionalLong resumeAfter,
        Optional<BegunResponse> begunStream,
        boolean endInDoubt,
        boolean hasOtherTarget,
        boolean newConnection,
        StatedEnds statedEnds,
        Target.PendingResponse pendingResponse,
        AttemptEvidence evidence) {
    /**
     * Returns whether another target may be asked if this attempt's response ends without stating
     * its end: whether the route permits it, and no target was asked so before.
     */
    public boolean mayAskForMore() {
        return route.allowsReexecution() && !endInDoubt;
    }

    /** Returns whether a doubtful response can wait for that of another target. */
    public boolean mayAskOtherTarget() {
        return mayAskForMore() && mayBeCompared() && hasOtherTarget;
    }

    /**
     * Returns whether the route permits that two targets respond to the request. Another daemon has
     * compared the responses of its targets before it passes one on.
     */
    public boolean mayBeCompared() {
        return recipient == Recipient.TARGET
                && route.allowsReexecution()
                && route.maxAttempts() > 1;
    }

    /**
     * Returns how the caller is told an end that no other target is asked about.
     *
     * @param isSuccess whether the response is a success
     * @param bytes size of the body
     */
    public ToldEnd toldEnd(EndEvidence evidence, boolean isSuccess, long bytes) {
        return isSuccess
                ? ToldEnd.of(evidence, route, target, bytes, statedEnds)
                : ToldEnd.ofFailure(evidence, route);
    }

    /**
     * Records that the target has stated the end of a successful response.
     *
     * @param bytes size of the body
     */
    public void recordStatedEnd(long bytes) {
        statedEnds.record(target.entry().service(), route.id(), bytes);
    }

    /**
     * Returns whether a successful body without a stated end, of which more may come, is longer
     * than the known ones of its route, or of its service if the request may run again. The bodies
     * of another route do not suffice to discard the only response to a request.
     */
    public boolean isTooLong(long bytes) {
        ServiceId service = target.entry().service();
        return route.allowsReexecution()
                ? statedEnds.isTooLong(service, route.id(), bytes)
                : statedEnds.sizes(service, route.id()).isTooLong(bytes);
    }

    /**
     * Returns whether a body without a stated end that is longer than what is buffered must not be
     * sent before another target was asked: nothing is known of the route's bodies, and none of the
     * service has been so long lately.
     */
    public boolean mustAskBeforeLongBody() {
        ServiceId service = target.entry().service();
        return mayAskOtherTarget()
                && !statedEnds.sizes(service, route.id()).areKnown()
                && !statedEnds.areLongBodiesKnown(service, route.id());
    }

    /** Returns what the daemon knows of the route's other responses. */
    public RouteResponses knownResponses() {
        return statedEnds.known(target.entry().service(), route.id());
    }

    /** Returns whether no successful body of the route has such a size. */
    public boolean hasUnusualSize(long bytes) {
        BodySizes known = statedEnds.sizes(target.entry().service(), route.id());
        return known.match(bytes) == BodySizes.Match.FAR;
    }
}
