package org.godwithoist.services;

/** An event in the life cycle of a claim. */
public enum ClaimEvent {
    /** A daemon claims the key for an attempt. */
    CLAIM,
    /** The response of the attempt was received. */
    COMPLETE,
    /** The attempt ended and it is not known whether it ran. */
    LOSE,
    /** The attempt certainly did not run and will not run. */
    RELEASE,
    /** The claim is older than its time to live. */
    EXPIRE
}
