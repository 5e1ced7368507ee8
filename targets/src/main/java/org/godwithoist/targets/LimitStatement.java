package org.godwithoist.targets;

import java.util.Optional;

/**
 * What a response of a target states about one of its limits.
 *
 * @param <L> kind of limit
 * @param limit the limit; empty if the response names none
 * @param unusable value that is no limit, cut to {@value #MAX_LENGTH} characters; empty if there is
 *     none
 */
public record LimitStatement<L>(Optional<L> limit, Optional<String> unusable) {
    private static final int MAX_LENGTH = 40;

    /** Returns the statement of a response that names no limit. */
    public static <L> LimitStatement<L> none() {
        return new LimitStatement<>(Optional.empty(), Optional.empty());
    }

    /** Creates the statement of a limit. */
    public static <L> LimitStatement<L> of(L limit) {
        return new LimitStatement<>(Optional.of(limit), Optional.empty());
    }

    /** Creates the statement of a value that is no limit; it counts as none. */
    public static <L> LimitStatement<L> unusable(String value) {
        String cut = value.substring(0, Math.min(MAX_LENGTH, value.length()));
        return new LimitStatement<>(Optional.empty(), Optional.of(cut));
    }
}
