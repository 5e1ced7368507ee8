package org.godwithoist.targets;

/**
 * The prefix that a prompt shares with other prompts.
 *
 * @param key hash of the prefix
 * @param sharedTokens length of the prefix, in tokens
 */
public record Prompt(PromptKey key, int sharedTokens) {}
