package org.godwithoist.targets;

/**
 * Size of a request to an engine.
 *
 * @param prompt length of the prompt, in tokens
 * @param maxOutput maximum number of output tokens
 * @param expectedOutput estimate of the output tokens, at most {@code maxOutput}
 */
public record TokenUsage(int prompt, int maxOutput, int expectedOutput) {
    /**
     * Validates the counts.
     *
     * @throws IllegalArgumentException if a count is negative or the estimate exceeds the maximum
     */
    public TokenUsage {
        if (prompt < 0 || maxOutput < 0 || expectedOutput < 0 || expectedOutput > maxOutput) {
            throw new IllegalArgumentException(
                    "invalid token counts: prompt "
                            + prompt
                            + ", output "
                            + expectedOutput
                            + " of at most "
                            + maxOutput);
        }
    }
}
