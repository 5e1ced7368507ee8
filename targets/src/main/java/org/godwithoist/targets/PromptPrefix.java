package org.godwithoist.targets;

/**
 * The prefix that a prompt shares with other prompts.
 *
 * @param key hash of the prefix
 * @param tokens length of the prefix, in tokens
 */
public record PromptPrefix(PrefixKey key, int tokens) {}
