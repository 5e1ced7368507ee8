package org.godwithoist.targets;

/** How a daemon has learnt that a limit of a target has begun, changed or ended. */
public enum LimitSource {
    /** A response of the target. */
    RESPONSE,
    /** A report of another daemon. */
    PEER,
    /** Another target of the service. */
    SERVICE,
    /** No response has stated the limit for {@link StatedLimit#EXPIRY}. */
    EXPIRY
}
