package org.godwithoist.targets;

/** Health of a target, judged by its responses and failures; decides whether it gets requests. */
public enum HealthState {
    /** Healthy: gets requests. */
    SOUND(true),
    /** Ejected for a time because it failed; gets no requests. */
    RESTING(false),
    /** Gets one request at a time as a probe, whose result decides whether it is healthy again. */
    PROBATION(true);

    private final boolean acceptsRequests;

    HealthState(boolean acceptsRequests) {
        this.acceptsRequests = acceptsRequests;
    }

    /** Returns whether the target may get any requests. */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
