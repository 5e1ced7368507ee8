package org.godwithoist.services;

import org.godwithoist.core.error.RunState;

/** Takes the answer for the caller. */
public interface CallSink {
    /** Takes status and headers. */
    void head(AnswerHead head, RunState runState);

    /**
     * Takes a piece of the body and waits until there is room for more.
     *
     * @return false if the caller is gone
     */
    boolean body(byte[] piece);

    /** Ends the answer. */
    void end();
}
