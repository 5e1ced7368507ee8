package org.godwithoist.catalog;

/**
 * Capacity of the engines of a service.
 *
 * @param slots number of requests that an engine processes in one batch
 * @param cacheTokens size of the KV cache of an engine, in tokens
 */
public record EngineSpec(int slots, long cacheTokens) {}
