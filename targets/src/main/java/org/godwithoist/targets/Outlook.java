package org.godwithoist.targets;

/**
 * What a request has to expect at a target.
 *
 * @param expectedMs time until the first event
 * @param workTime how long work takes on the target's host, as a multiple of the usual time
 * @param outstanding work of all daemons at the target before the request
 */
record Outlook(double expectedMs, double workTime, TokenWork outstanding) {}
