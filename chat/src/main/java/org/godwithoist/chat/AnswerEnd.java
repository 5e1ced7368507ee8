package org.godwithoist.chat;

import org.godwithoist.accounting.Usage;

/**
 * The end of a whole answer.
 *
 * @param usage what the engines counted, summed over all attempts that are settled
 * @param unsettledAttempts attempts whose count is not known yet
 * @param finishReason why the engine stopped, for example {@code stop} or {@code length}
 */
public record AnswerEnd(Usage usage, int unsettledAttempts, String finishReason) {}
