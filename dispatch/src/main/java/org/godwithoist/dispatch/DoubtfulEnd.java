package org.godwithoist.dispatch;

import java.util.Arrays;
import java.util.Optional;
import org.godwithoist.targets.Target;

/**
 * What the attempts of one request have shown of an end that no target has stated. Two responses of
 * the same size confirm each other. Of two that differ, one may be cut, so neither counts as whole
 * where targets state the ends of their responses as a rule; at services that never do, the longer
 * one counts, because their responses may differ from run to run. Used by one task.
 */
final class DoubtfulEnd {
    private enum State {
        NONE,
        DOUBTFUL,
        CONFIRMED,
        REFUTED
    }

    private State state = State.NONE;
    private boolean believedAlone;
    private Optional<Target> first = Optional.empty();
    private Optional<BufferedResponse> unsent = Optional.empty();

    /** Records an attempt whose response has ended without its end being known. */
    void record(Target target, AttemptResult result) {
        boolean alone =
                result.body()
                        .flatMap(ResponseBody::evidence)
                        .map(EndEvidence::isBelievedAlone)
                        .orElse(true);
        alone &= !target.isKnownToCutBodies();
        if (first.isPresent() && unsent.isPresent() && result.unsent().isPresent()) {
            compare(target, result.unsent().get());
            return;
        }
        state = State.DOUBTFUL;
        believedAlone = alone;
        first = Optional.of(target);
        unsent = result.unsent();
    }

    private void compare(Target target, BufferedResponse second) {
        byte[] one = unsent.orElseThrow().body();
        byte[] other = second.body();
        if (one.length == other.length) {
            state = State.CONFIRMED;
            unsent = Optional.of(second);
            return;
        }
        boolean secondIsLonger = other.length > one.length;
        byte[] shorter = secondIsLonger ? one : other;
        byte[] longer = secondIsLonger ? other : one;
        boolean shorterIsPrefix = Arrays.equals(shorter, Arrays.copyOf(longer, shorter.length));
        boolean endsNeverStated = !first.orElseThrow().statesEnds() && !target.statesEnds();
        if (shorterIsPrefix || !endsNeverStated) {
            (secondIsLonger ? first.orElseThrow() : target).recordCutBody();
        }
        state = shorterIsPrefix || endsNeverStated ? State.CONFIRMED : State.REFUTED;
        if (secondIsLonger) {
            unsent = Optional.of(second);
        }
    }

    /** Records that the earlier end was none, because the response goes on. */
    void clear() {
        state = State.NONE;
        unsent = Optional.empty();
    }

    /** Returns whether an end is in doubt, or was until another target was asked. */
    boolean isPresent() {
        return state != State.NONE;
    }

    /** Returns whether two responses have decided about the end. */
    boolean isResolved() {
        return state == State.CONFIRMED || state == State.REFUTED;
    }

    /** Returns whether the response counts as whole if no other target is asked. */
    boolean isBelieved() {
        return state == State.CONFIRMED || (state == State.DOUBTFUL && believedAlone);
    }

    /** Returns the response that was not sent to the caller; empty for a stream, or if refuted. */
    Optional<BufferedResponse> unsent() {
        return state == State.REFUTED ? Optional.empty() : unsent;
    }
}
