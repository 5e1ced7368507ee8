package org.godwithoist.streams;

/** Where the version that began a stream was found. Constants are values of a label. */
public enum OriginSource {
    /** In the memory of this daemon. */
    MEMORY,
    /** No other version can have begun it. */
    ONLY_VERSION,
    /** In the row of the stream in the store. */
    STORE,
    /** Nowhere. */
    UNKNOWN
}
