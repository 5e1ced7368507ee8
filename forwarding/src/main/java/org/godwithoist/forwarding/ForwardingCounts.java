package org.godwithoist.forwarding;

import java.util.concurrent.atomic.LongAdder;

/** Counts of the requests that this daemon has passed on and taken over. Thread-safe. */
public final class ForwardingCounts {
    private final LongAdder sent = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final LongAdder received = new LongAdder();

    /** Counts a request that is passed on to another daemon, once for each daemon. */
    public void recordSent() {
        sent.increment();
    }

    /** Counts a response that came through another daemon. */
    public void recordAnswered() {
        answered.increment();
    }

    /** Counts a request of another daemon. */
    public void recordReceived() {
        received.increment();
    }

    /** Returns how often requests were passed on. */
    public long sent() {
        return sent.sum();
    }

    /** Returns how many responses came through other daemons. */
    public long answered() {
        return answered.sum();
    }

    /** Returns how many requests other daemons have passed on to this one. */
    public long received() {
        return received.sum();
    }
}
