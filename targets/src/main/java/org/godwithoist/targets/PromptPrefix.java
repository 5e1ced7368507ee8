package org.godwithoist.targets;

import java.util.List;

/**
 * The prefix that a prompt shares with other prompts.
 *
 * @param key hash of the prefix
 * @param tokens length of the prefix, in tokens
 * @param parts parts of the prefix in their order, without the last part of the prompt, which
 *     belongs to the request or its session
 * @param wholePrompt hash of the whole prompt, with the part that belongs to the request
 */
public record PromptPrefix(
        PrefixKey key, int tokens, List<PromptPartId> parts, PrefixKey wholePrompt) {
    /** Copies the list. */
    public PromptPrefix {
        parts = List.copyOf(parts);
    }
}
