package org.godwithoist.edge;

import java.time.Duration;
import org.godwithoist.edge.ScriptedFleet.RouteKind;

/**
 * The first attempt of a caller, on a new connection.
 *
 * @param daemon index of the daemon that the caller has asked
 * @param id id of the attempt
 * @param sentAt time of the request, in nanoseconds of {@link System#nanoTime}
 * @param status status of the response; 0 if it was not complete
 * @param whole whether the body is that of a whole response
 */
record FirstTry(
        RouteKind kind,
        int daemon,
        String id,
        long sentAt,
        Duration duration,
        int status,
        boolean whole,
        String body) {
    private static final int OK = 200;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Returns whether the whole response has arrived before the deadline. */
    boolean isServed() {
        return status == OK && whole && duration.compareTo(PartitionedFleet.DEADLINE) <= 0;
    }

    /** Returns whether the response states that the request has not run. */
    boolean isRefusedAsNotRun() {
        return switch (status) {
            case REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE -> true;
            default -> false;
        };
    }

    @Override
    public String toString() {
        return kind
                + " "
                + id
                + " at daemon "
                + daemon
                + ": "
                + status
                + " "
                + duration
                + " "
                + body;
    }
}
