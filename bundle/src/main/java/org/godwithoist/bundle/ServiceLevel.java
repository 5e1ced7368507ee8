package org.godwithoist.bundle;

import java.time.Duration;
import org.godwithoist.core.Priority;

/**
 * Deadline and objective of one priority.
 *
 * @param priority the priority
 * @param firstToken objective for the first token or the whole answer of a service
 * @param betweenTokens objective between tokens
 * @param deadline time after which a request is refused or failed
 * @param objective share of requests that must meet the objectives, between 0 and 1
 */
public record ServiceLevel(
        Priority priority,
        Duration firstToken,
        Duration betweenTokens,
        Duration deadline,
        double objective) {}
