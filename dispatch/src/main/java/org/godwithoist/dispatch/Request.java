package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.quarantine.RequestFingerprint;
import org.godwithoist.quarantine.SuspectId;

/**
 * A request that was read completely.
 *
 * @param head head of the request
 * @param body body of the request; empty if it has none
 * @param hasBody whether the caller sent a body, which may be empty
 * @param arrivedAt time at which the last byte was read, in nanoseconds of the ticker
 * @param fingerprint identifies the request and its repeats; empty until its workspace is known
 * @param admittedBy version of the catalog by which another daemon has admitted the request before
 *     it passed it on; empty for a request of a caller
 */
public record Request(
        RequestHead head,
        RequestBody body,
        boolean hasBody,
        long arrivedAt,
        Optional<RequestFingerprint> fingerprint,
        OptionalLong admittedBy) {
    /** Creates a request whose workspace is not known yet. */
    public Request(RequestHead head, RequestBody body, boolean hasBody, long arrivedAt) {
        this(head, body, hasBody, arrivedAt, Optional.empty(), OptionalLong.empty());
    }

    /** Returns this request as one that a daemon passes on, which has admitted it. */
    public Request forwarded(long catalogVersion) {
        return new Request(
                head, body, hasBody, arrivedAt, fingerprint, OptionalLong.of(catalogVersion));
    }

    /** Returns this request with its fingerprint, as sent by a workspace. */
    Request identified(Optional<WorkspaceId> workspace) {
        RequestFingerprint computed =
                RequestFingerprint.of(
                        digest -> body.write(0, body.length(), digest::update),
                        head.method(),
                        head.host(),
                        head.uri(),
                        workspace.map(WorkspaceId::value).orElse(""),
                        head.prefix()
                                .map(p -> Long.toHexString(p.wholePrompt().hash()))
                                .orElse(""));
        return new Request(head, body, hasBody, arrivedAt, Optional.of(computed), admittedBy);
    }

    /** Returns what may be to blame if targets crash under this request. */
    public List<SuspectId> suspectIds() {
        List<SuspectId> ids = new ArrayList<>();
        head.sharedParts().forEach(p -> ids.add(SuspectId.of(p)));
        fingerprint.ifPresent(f -> ids.add(SuspectId.of(f)));
        return ids;
    }

    /** Returns the earlier of the caller's deadline and the route's timeout. */
    Deadline deadline(Duration timeout, Ticker ticker) {
        return new Deadline(arrivedAt + head.timeLimit(timeout).toNanos(), ticker);
    }
}
