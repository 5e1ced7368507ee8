package org.godwithoist.dispatch.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.apache.hc.core5.http.Header;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.HeaderField;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.RequestHead;
import org.godwithoist.dispatch.TargetPresence;
import org.godwithoist.targets.LimitStatement;
import org.godwithoist.targets.LoadReport;
import org.godwithoist.targets.RateLimit;
import org.godwithoist.targets.RejectionLimit;
import org.godwithoist.targets.Target;

/** Names and formats of the header fields on the connections to callers and targets. */
public interface Dialect {
    /**
     * Values of a target's header fields.
     *
     * @param id request that the response belongs to; empty if it is not specified
     * @param signature the target's signature of the response; empty if it has none
     * @param notRun whether the target states that it did not run the request
     * @param load load of the target; empty if it is not reported
     * @param leaving whether the target states that it is leaving
     * @param retryAfter time for which the target asks for no further requests; empty if it states
     *     none
     * @param rate what it states about the requests a second that it takes from all daemons
     * @param rejections what it states about the rejections a second that it survives
     */
    record ResponseMetadata(
            Optional<RequestId> id,
            Optional<String> signature,
            boolean notRun,
            Optional<LoadReport> load,
            boolean leaving,
            Optional<Duration> retryAfter,
            LimitStatement<RateLimit> rate,
            LimitStatement<RejectionLimit> rejections) {
        /** Returns whether the fields are those of a target's response. */
        boolean isOfTarget() {
            return id.isPresent() || signed() || notRun;
        }

        /** Returns whether the response is signed by the target. */
        boolean signed() {
            return signature.isPresent();
        }
    }

    /**
     * Reads the head of a request.
     *
     * @throws RefusedException if the request is malformed
     */
    RequestHead readRequest(String method, String uri, Header[] headers) throws RefusedException;

    /**
     * Returns the version of the catalog by which another daemon has admitted a request that it
     * passes on; 0 if it is not stated.
     */
    long admittedBy(Header[] headers);

    /** Returns the header fields of a request to a target, or to another daemon. */
    List<HeaderField> targetFields(Attempt attempt);

    /** Returns the header fields of a refusal that tell another daemon what it is about. */
    List<HeaderField> refusalFields(RequestId id, Refusal refusal);

    /** Reads the header fields of a target's response. */
    ResponseMetadata readResponse(Header[] headers);

    /**
     * Returns the time for which a target keeps an idle connection open.
     *
     * @return seconds; empty if the target does not specify it
     */
    OptionalInt keepAliveSeconds(Header[] headers);

    /** Returns the path at which the targets of a service answer for themselves. */
    String presencePath(ServiceSpec service);

    /** Returns the header fields of the request that asks whether a target is still there. */
    List<HeaderField> presenceFields(Target target);

    /**
     * Reads who has answered that request.
     *
     * @param target the target that was asked for
     * @param body first bytes of the body, or none if it broke off
     */
    TargetPresence readPresence(Target target, int status, Header[] headers, byte[] body);
}
