package org.godwithoist.targets;

/**
 * Work that a target has not completed, in tokens.
 *
 * @param prefill prompt tokens that it still has to process
 * @param held tokens for which it needs memory until the requests end
 */
public record TokenWork(long prefill, long held) {
    /** No work. */
    public static final TokenWork NONE = new TokenWork(0, 0);

    /** Returns the sum of two amounts. */
    public TokenWork plus(TokenWork other) {
        return new TokenWork(prefill + other.prefill, held + other.held);
    }

    /** Returns the difference, of which no part is below 0. */
    public TokenWork minus(TokenWork other) {
        return new TokenWork(Math.max(0, prefill - other.prefill), Math.max(0, held - other.held));
    }

    /** Returns the larger of each part of two amounts. */
    TokenWork max(TokenWork other) {
        return new TokenWork(Math.max(prefill, other.prefill), Math.max(held, other.held));
    }

    /** Returns whether there is no work. */
    boolean isNone() {
        return prefill == 0 && held == 0;
    }
}
