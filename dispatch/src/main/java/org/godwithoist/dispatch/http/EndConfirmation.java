package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.godwithoist.dispatch.BodyEnd;
import org.godwithoist.dispatch.TargetPresence;

/**
 * Confirms the end of a body that only the end of its connection states. The system closes the
 * connections of a process that has crashed in the same way as the process does after a complete
 * body, so such an end counts only if the target is still there afterwards. Used by one task.
 */
final class EndConfirmation {
    /**
     * Delay of the question after a stream, because a process that ends may close its connections
     * shortly before it stops answering. Only the end of the stream waits for it, while the whole
     * of a body that is not a stream would.
     */
    private static final Duration STREAM_DELAY = Duration.ofMillis(50);

    private final Function<Duration, TargetPresence> findPresence;
    private Optional<TargetPresence> presence = Optional.empty();

    /**
     * Creates a confirmation for one target.
     *
     * @param findPresence asks who is at the target's address, after a delay
     */
    EndConfirmation(Function<Duration, TargetPresence> findPresence) {
        this.findPresence = findPresence;
    }

    /** Returns who was found after an end that was not stated; empty if nobody was asked. */
    Optional<TargetPresence> presence() {
        return presence;
    }

    /**
     * Confirms the end of a body that is not a stream. Has no effect if the target has stated it.
     *
     * @throws UnconfirmedEndException if the target is not found at its address
     */
    void confirm(BodyEnd end) throws UnconfirmedEndException {
        confirm(end, Duration.ZERO);
    }

    /**
     * Confirms the end of a stream. Has no effect if the target has stated it.
     *
     * @throws UnconfirmedEndException if the target is not found at its address
     */
    void confirmStream(BodyEnd end) throws UnconfirmedEndException {
        confirm(end, STREAM_DELAY);
    }

    private void confirm(BodyEnd end, Duration delay) throws UnconfirmedEndException {
        if (end.isStated()) {
            return;
        }
        TargetPresence found = findPresence.apply(delay);
        presence = Optional.of(found);
        if (!found.mayBeAlive()) {
            throw new UnconfirmedEndException(found);
        }
    }

    /**
     * The target has ended, was replaced or cannot be reached after a body without a stated end.
     */
    static final class UnconfirmedEndException extends IOException {
        private static final long serialVersionUID = 1L;

        UnconfirmedEndException(TargetPresence found) {
            super("the body has no stated end, and its target is not there any more: " + found);
        }
    }
}
