package org.godwithoist.bundle;

import java.time.Duration;
import org.godwithoist.core.Priority;

/**
 * Deadline and latency objectives of one priority.
 *
 * @param priority priority of the requests
 * @param firstToken latency objective for the first token, or for the complete response of a
 *     service
 * @param betweenTokens latency objective between two tokens
 * @param deadline time after which a request is rejected or fails
 * @param objective fraction of the requests that must meet the latency objectives, between 0 and 1
 */
public record ServiceLevel(
        Priority priority,
        Duration firstToken,
        Duration betweenTokens,
        Duration deadline,
        double objective) {}
