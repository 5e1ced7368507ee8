package org.godwithoist.targets;

/**
 * Load that a target reports with a response.
 *
 * @param running requests that it processes
 * @param waiting requests in its queue
 * @param slots requests that it can process concurrently
 */
public record LoadReport(int running, int waiting, int slots) {
    /** Returns the running and the queued requests. */
    public int total() {
        return running + waiting;
    }
}
