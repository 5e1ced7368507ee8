package org.godwithoist.chat;

import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.retry.RetryBudget;

/**
 * What the requests of a daemon share.
 *
 * @param budget permits retries
 * @param inProgress requests in progress and lost attempts that are not settled yet; a planned stop
 *     waits for both
 */
record Workload(RetryBudget budget, AtomicInteger inProgress) {}
