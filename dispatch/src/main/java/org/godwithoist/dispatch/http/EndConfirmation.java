package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.BodyEnd;

/**
 * Confirms the end of a body that only the end of its connection states. The system closes the
 * connections of a process that has crashed in the same way as the process does after a complete
 * body, so such an end counts only if the process is still there afterwards. Used by one task.
 */
final class EndConfirmation {
    /**
     * Delay of the second check after a stream, because a process that ends may close its
     * connections shortly before its listener. Only the end of the stream waits for it, while the
     * whole of a body that is not a stream would.
     */
    private static final Duration SECOND_CHECK_DELAY = Duration.ofMillis(50);

    private final BooleanSupplier targetAcceptsConnections;

    /**
     * Creates a confirmation for one target.
     *
     * @param targetAcceptsConnections returns whether the target accepts a new connection
     */
    EndConfirmation(BooleanSupplier targetAcceptsConnections) {
        this.targetAcceptsConnections = targetAcceptsConnections;
    }

    /**
     * Confirms the end of a body that is not a stream. Has no effect if the target has stated it.
     *
     * @throws UnconfirmedEndException if nobody vouches for the end
     */
    void confirm(BodyEnd end) throws UnconfirmedEndException {
        if (!end.isStated() && !targetAcceptsConnections.getAsBoolean()) {
            throw new UnconfirmedEndException();
        }
    }

    /**
     * Confirms the end of a stream. Has no effect if the target has stated it.
     *
     * @throws UnconfirmedEndException if nobody vouches for the end
     */
    void confirmStream(BodyEnd end) throws UnconfirmedEndException {
        confirm(end);
        if (!end.isStated()) {
            Tasks.sleep(SECOND_CHECK_DELAY);
            confirm(end);
        }
    }

    /** The target's process has ended or cannot be reached after a body without a stated end. */
    static final class UnconfirmedEndException extends IOException {
        private static final long serialVersionUID = 1L;

        UnconfirmedEndException() {
            super("the body has no stated end, and its target accepts no connections any more");
        }
    }
}
