package org.godwithoist.dispatch;

/** How far a target got with the response to one attempt. */
public enum ResponseProgress {
    /** No head of a successful response has arrived. */
    NONE,
    /** The head of a successful response has arrived, and nothing complete after it. */
    BEGUN,
    /** A part of the response has been forwarded to the caller. */
    PARTIAL,
    /**
     * The response is complete, or went on for so long after its head that the target has survived
     * its beginning.
     */
    ESTABLISHED
}
