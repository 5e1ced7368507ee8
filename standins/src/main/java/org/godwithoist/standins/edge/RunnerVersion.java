package org.godwithoist.standins.edge;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Software version of a runner stand-in. It may respond to some of the requests on some paths with
 * a failure, or late. Thread-safe.
 */
public final class RunnerVersion {
    /** A version without faults. */
    public static final RunnerVersion FIRST = good("v1");

    private final String name;
    private final String pathPrefix;
    private final int failureInterval;
    private final Duration delay;
    private final AtomicLong requests = new AtomicLong();

    private RunnerVersion(String name, String pathPrefix, int failureInterval, Duration delay) {
        this.name = name;
        this.pathPrefix = pathPrefix;
        this.failureInterval = failureInterval;
        this.delay = delay;
    }

    /** Returns a version without faults. */
    public static RunnerVersion good(String name) {
        return new RunnerVersion(name, "", 0, Duration.ZERO);
    }

    /**
     * Returns a version that fails some requests.
     *
     * @param pathPrefix paths on which it does so; empty for all
     * @param interval fails each request whose number is a multiple of this
     */
    public static RunnerVersion failing(String name, String pathPrefix, int interval) {
        return new RunnerVersion(name, pathPrefix, interval, Duration.ZERO);
    }

    /**
     * Returns a version that responds late.
     *
     * @param pathPrefix paths on which it does so; empty for all
     * @param delay time by which its responses are later
     */
    public static RunnerVersion slow(String name, String pathPrefix, Duration delay) {
        return new RunnerVersion(name, pathPrefix, 0, delay);
    }

    /** Returns the name that the entry of the runner states. */
    public String name() {
        return name;
    }

    /**
     * Returns the fault of the response to the next request.
     *
     * @param other fault of the runner itself, which goes first
     */
    RunnerFault faultOf(String path, RunnerFault other) {
        boolean fails =
                other == RunnerFault.NONE
                        && failureInterval > 0
                        && path.startsWith(pathPrefix)
                        && requests.incrementAndGet() % failureInterval == 0;
        return fails ? RunnerFault.FAIL : other;
    }

    /** Returns the time by which the response to a request is late. */
    Duration delayOf(String path) {
        return path.startsWith(pathPrefix) ? delay : Duration.ZERO;
    }
}
