package org.godwithoist.dispatch;

/** Who gets the request of an attempt. */
public enum Recipient {
    /** A target, which runs the request. */
    TARGET,
    /** Another daemon, which admits the request and sends it to a target of its choice. */
    DAEMON
}
