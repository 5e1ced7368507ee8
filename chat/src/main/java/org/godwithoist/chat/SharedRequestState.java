package org.godwithoist.chat;

import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.retry.RetryBudget;

/**
 * State shared by the requests of a daemon.
 *
 * @param budget permits retries
 * @param inProgress requests in progress and lost attempts that are not settled yet; a graceful
 *     shutdown waits for both
 */
record SharedRequestState(RetryBudget budget, AtomicInteger inProgress) {}
