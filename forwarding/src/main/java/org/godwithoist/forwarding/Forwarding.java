package org.godwithoist.forwarding;

/**
 * What a daemon needs to pass requests on.
 *
 * @param reach whether this daemon reaches any target
 * @param peers daemons to which requests are passed on while it reaches none
 * @param counts counts what is passed on and taken over
 */
public record Forwarding(TargetReach reach, ForwardingPeers peers, ForwardingCounts counts) {}
