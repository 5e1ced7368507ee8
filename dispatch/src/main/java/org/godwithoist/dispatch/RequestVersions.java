package org.godwithoist.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.rollout.Rollouts;
import org.godwithoist.rollout.fleet.RouteNames;
import org.godwithoist.streams.StreamId;
import org.godwithoist.streams.StreamOrigin;
import org.godwithoist.streams.StreamOrigins;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.VersionFilter;

/**
 * Versions of its service to which one request may go. A stream that has begun goes on at the
 * version that began it and at no other one, within a response and over the caller's attempts.
 * While versions are rolled out, any other retry goes to the baseline, also after an attempt at the
 * canary unless that has all of the traffic. Used by one task.
 */
final class RequestVersions {
    private final Optional<Rollouts> rollouts;
    private final StreamOrigins origins;
    private final ServiceId service;
    private final Route route;
    private final RouteId routeName;
    private final RequestHead head;
    private final Deadline deadline;

    /** Hash of the chat; of a request without a prompt, a number of its own. */
    private final long chatHash;

    /** Version of the target of the last attempt; empty if its entry names none. */
    private Optional<SoftwareVersion> lastVersion = Optional.empty();

    /** Version that began the stream; empty before its first event. */
    private Optional<StreamOrigin> origin = Optional.empty();

    private RequestVersions(
            Optional<Rollouts> rollouts,
            StreamOrigins origins,
            ServiceId service,
            Route route,
            RequestHead head,
            Deadline deadline,
            long chatHash) {
        this.rollouts = rollouts;
        this.origins = origins;
        this.service = service;
        this.route = route;
        routeName = RouteNames.shortened(route.id());
        this.head = head;
        this.deadline = deadline;
        this.chatHash = chatHash;
    }

    /**
     * Returns the versions of a request.
     *
     * @param rollouts orders in progress; empty if the deployment rolls no versions out
     * @param origins versions that began the streams of callers
     */
    static RequestVersions of(
            Optional<Rollouts> rollouts,
            StreamOrigins origins,
            ServiceId service,
            Route route,
            Request request,
            Deadline deadline,
            RandomGenerator random) {
        long hash =
                rollouts.isEmpty()
                        ? 0
                        : request.head()
                                .prefix()
                                .map(p -> p.wholePrompt().hash())
                                .orElseGet(random::nextLong);
        return new RequestVersions(
                rollouts, origins, service, route, request.head(), deadline, hash);
    }

    /**
     * Finds the version that began the stream if the request takes one up again.
     *
     * @param targets targets of the service
     * @return why the stream cannot go on; empty if it can, or if the request begins a new one
     */
    Optional<Refusal> findOrigin(List<Target> targets) {
        boolean goesOn = route.resumable() && head.resumeAfter().isPresent();
        boolean takesUp = head.resumes().isPresent() || goesOn;
        if (!takesUp || !route.kind().isEventStream()) {
            return Optional.empty();
        }
        origin =
                head.resumes()
                        .map(r -> origins.find(new StreamId(service, r), deadline.remaining()))
                        .orElseGet(() -> origins.onlyOrigin(service));
        if (origin.isEmpty()) {
            return Optional.of(Refusal.UNKNOWN_ORIGIN);
        }
        boolean hasTarget =
                targets.stream().anyMatch(t -> origin.get().permits(t.entry().version()));
        return hasTarget ? Optional.empty() : Optional.of(Refusal.NO_TARGET_OF_VERSION);
    }

    /** Returns the versions to which the next attempt may go. */
    VersionFilter filter(RetryPolicy policy) {
        if (origin.isPresent()) {
            return origin.get();
        }
        return policy.nextIsRetry()
                ? rollouts.map(r -> r.retryFilter(service, lastVersion)).orElse(VersionFilter.ALL)
                : filter(false);
    }

    /**
     * Returns the versions to which a request may go if none of those of {@link #filter} has an
     * eligible target.
     */
    VersionFilter fallback() {
        return origin.isPresent() ? origin.get() : filter(true);
    }

    private VersionFilter filter(boolean baselineOnly) {
        return rollouts.map(r -> r.filter(service, Optional.of(routeName), chatHash, baselineOnly))
                .orElse(VersionFilter.ALL);
    }

    /** Records the start of an attempt and returns its evidence. */
    AttemptEvidence start(Target target) {
        lastVersion = target.entry().version();
        StreamOrigin version = new StreamOrigin(target.entry().version());
        return new AttemptEvidence(
                rollouts.flatMap(r -> r.recorder(service))
                        .map(r -> r.sent(routeName, target.entry().version())),
                () -> begin(version));
    }

    /** Records the version that brings the first event of the stream. */
    private void begin(StreamOrigin version) {
        if (origin.isPresent()) {
            return;
        }
        origin = Optional.of(version);
        origins.began(
                new StreamId(service, head.resumes().orElse(head.id())),
                version,
                deadline.remaining());
    }
}
