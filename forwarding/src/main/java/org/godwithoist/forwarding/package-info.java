/**
 * Serves requests while this daemon reaches no target: notices the state, and chooses another
 * daemon to which a request is passed on. That daemon admits the request and sends it to a target
 * like one of its own callers, so that all limits of targets are kept by the daemon that reaches
 * them.
 */
package org.godwithoist.forwarding;
