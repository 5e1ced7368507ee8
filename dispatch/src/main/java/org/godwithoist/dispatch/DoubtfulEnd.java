package org.godwithoist.dispatch;

import java.util.Arrays;
import java.util.Optional;
import org.godwithoist.catalog.Route;
import org.godwithoist.targets.Target;

/**
 * What the attempts of one request have shown of an end that is in doubt. A second response without
 * a stated end confirms nothing, because targets may be cut at the same place; it only refutes a
 * response that it begins with, unless it is that response written twice. A body that repeats
 * itself is confirmed by the same bytes of another target. Used by one task.
 */
final class DoubtfulEnd {
    /** A response whose end is in doubt, or a stream that was forwarded up to such an end. */
    private record Response(
            Target target, EndEvidence evidence, Optional<BufferedResponse> unsent) {
        int length() {
            return unsent.map(r -> r.body().length).orElse(0);
        }

        boolean isRepeated() {
            return evidence == EndEvidence.REPEATED_BODY;
        }

        boolean hasSameBytes(Response other) {
            return Arrays.equals(unsent.orElseThrow().body(), other.unsent.orElseThrow().body());
        }

        Response confirmed() {
            return new Response(target, EndEvidence.EQUAL_RESPONSE, unsent);
        }

        /** Returns whether this is the body of the other response, written twice. */
        boolean isTwice(Response other) {
            return length() == 2 * other.length()
                    && RepeatedBody.isIn(unsent.orElseThrow().body())
                    && beginsWith(other);
        }

        boolean beginsWith(Response other) {
            byte[] own = unsent.orElseThrow().body();
            byte[] start = other.unsent.orElseThrow().body();
            return own.length > start.length
                    && Arrays.equals(own, 0, start.length, start, 0, start.length);
        }
    }

    private Optional<Response> kept = Optional.empty();

    /** Records an attempt whose response has ended without its end being known. */
    void record(Target target, AttemptResult result) {
        EndEvidence evidence =
                result.body().flatMap(ResponseBody::evidence).orElse(EndEvidence.OTHER_RESPONSE);
        Response next = new Response(target, evidence, result.unsent());
        boolean comparable =
                kept.flatMap(Response::unsent).isPresent() && next.unsent().isPresent();
        kept = Optional.of(comparable ? better(kept.get(), next) : next);
    }

    private static Response better(Response first, Response second) {
        if (first.isRepeated() && second.isRepeated()) {
            return first.hasSameBytes(second) ? first.confirmed() : second;
        }
        if (first.isRepeated() || second.isRepeated()) {
            return first.isRepeated() ? second : first;
        }
        if (first.evidence() == EndEvidence.UNUSUAL_STATED_SIZE) {
            return first;
        }
        if (first.isTwice(second) || second.isTwice(first)) {
            return first.isTwice(second) ? second : first;
        }
        if (first.beginsWith(second)) {
            second.target().recordCutBody();
            return first;
        }
        if (second.beginsWith(first)) {
            first.target().recordCutBody();
            return second;
        }
        return second.length() > first.length() ? second : first;
    }

    /** Records that the earlier end was none, because the response goes on. */
    void clear() {
        kept = Optional.empty();
    }

    /** Returns whether two targets have agreed, so that no other needs to be asked. */
    boolean isConfirmed() {
        return kept.map(r -> r.evidence().isWhole()).orElse(false);
    }

    /** Returns whether a long body was not read to its end, because nothing was known of it. */
    boolean isOfUnknownLength() {
        return kept.map(r -> r.evidence() == EndEvidence.UNKNOWN_LENGTH).orElse(false);
    }

    /** Returns whether an end is in doubt. */
    boolean isPresent() {
        return kept.isPresent();
    }

    /**
     * Returns how the end is told if no other target is asked.
     *
     * @param route route of the request
     */
    ToldEnd toldEnd(Route route, StatedEnds statedEnds) {
        return kept.map(r -> ToldEnd.of(r.evidence(), route, r.target(), r.length(), statedEnds))
                .orElse(ToldEnd.BROKEN);
    }

    /** Returns the response that was not sent to the caller; empty for a stream. */
    Optional<BufferedResponse> unsent() {
        return kept.flatMap(Response::unsent);
    }
}
