/**
 * A daemon's local view of each target, and the choice of a target for each request. All classes
 * take the time from a {@link org.godwithoist.core.time.Ticker} and need no network.
 */
package org.godwithoist.targets;
