package org.godwithoist.dispatch;

/**
 * What an attempt sends its request to, which decides on the header fields of the request and on
 * what a refusal means.
 */
public enum Recipient {
    /** Gets the request in the name of the workspace, without the caller's key. */
    TARGET,
    /** Gets the request as the caller has sent it, because it admits the request itself. */
    DAEMON
}
