/**
 * Lifecycle of one request: it is admitted or rejected, sent to one target after another as far as
 * its route permits, and answered once. The root package makes the decisions and is independent of
 * the encoding; {@code http} manages the connections to callers and targets.
 */
package org.godwithoist.dispatch;
