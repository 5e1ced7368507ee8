/**
 * Lifecycle of one request: admission or refusal, attempts at one target after another as far as
 * its route permits, and exactly one response to the caller. The root package makes the decisions
 * and is independent of the encoding; {@code http} manages the connections to callers and targets.
 */
package org.godwithoist.dispatch;
