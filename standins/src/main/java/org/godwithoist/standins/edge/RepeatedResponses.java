package org.godwithoist.standins.edge;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.http.MessageWriter;
import org.godwithoist.dispatch.http.ReadAheadSocket;

/** Makes a runner repeat each response on its connection. Thread-safe. */
public final class RepeatedResponses {
    /** When a runner repeats a response. */
    public enum Moment {
        /** Directly after the response. */
        AT_ONCE(Duration.ZERO),
        /** A few milliseconds after the response, when the next request may be on its way. */
        SOON(Duration.ofMillis(5)),
        /** Some time after the response. */
        LATE(Duration.ofMillis(60)),
        /** Directly before the response to the next request on the connection. */
        BEFORE_NEXT_RESPONSE(Duration.ZERO),
        /** Inside the body of a response with neither a length nor chunks, before its end. */
        BEFORE_CLOSE(Duration.ZERO);

        private final Duration delay;

        Moment(Duration delay) {
            this.delay = delay;
        }

        boolean followsResponse() {
            return this == AT_ONCE || this == SOON || this == LATE;
        }
    }

    private final ResponseCopy copy;
    private final Moment moment;
    private final Map<ReadAheadSocket, String> answeredRequests = new ConcurrentHashMap<>();
    private volatile boolean hasRepeated;

    /** Creates the behaviour of one runner. */
    public RepeatedResponses(ResponseCopy copy, Moment moment) {
        this.copy = copy;
        this.moment = moment;
    }

    /** Returns whether the runner has repeated a response. */
    boolean hasRepeated() {
        return hasRepeated;
    }

    private void write(MessageWriter writer, String attemptId) throws IOException {
        hasRepeated = true;
        copy.write(writer, attemptId);
    }

    /**
     * Writes what precedes a response.
     *
     * @return whether the connection stays open, so that the response can be written
     */
    boolean beforeResponse(MessageServer.Connection connection) throws IOException {
        String answered = answeredRequests.get(connection.socket());
        if (moment != Moment.BEFORE_NEXT_RESPONSE || answered == null) {
            return true;
        }
        write(connection.writer(), answered);
        return copy.connectionStaysOpen();
    }

    /** Writes what follows the body of a response with neither a length nor chunks. */
    void beforeClose(MessageWriter writer, String attemptId) throws IOException {
        if (moment == Moment.BEFORE_CLOSE) {
            write(writer, attemptId);
        }
    }

    /**
     * Writes what follows a response.
     *
     * @return whether the connection stays open
     */
    boolean afterResponse(MessageServer.Connection connection, String attemptId)
            throws IOException {
        answeredRequests.put(connection.socket(), attemptId);
        if (!moment.followsResponse()) {
            return true;
        }
        Tasks.sleep(moment.delay);
        write(connection.writer(), attemptId);
        return copy.connectionStaysOpen();
    }
}
