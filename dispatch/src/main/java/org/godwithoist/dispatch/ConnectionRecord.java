package org.godwithoist.dispatch;

/**
 * What an attempt found on its connection to the target. It tells a connection that the target has
 * ended from one that this daemon has closed.
 *
 * @param earlierRequests number of requests that the connection had carried before; 0 if it was
 *     opened for this one
 * @param strayResponses number of responses to other requests that were read
 * @param closedByThisSide whether this daemon had closed the connection by the end of the attempt,
 *     also for the departure of the request's own caller or its withdrawal
 */
public record ConnectionRecord(int earlierRequests, int strayResponses, boolean closedByThisSide) {}
