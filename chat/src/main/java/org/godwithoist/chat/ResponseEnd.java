package org.godwithoist.chat;

import org.godwithoist.accounting.Usage;

/**
 * The end of a complete response.
 *
 * @param usage usage reported by the engines, summed over all settled attempts
 * @param unsettledAttempts attempts whose usage is not known yet
 * @param finishReason why the engine stopped, for example {@code stop} or {@code length}
 */
public record ResponseEnd(Usage usage, int unsettledAttempts, String finishReason) {}
