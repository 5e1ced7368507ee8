package org.godwithoist.store.feed;

/**
 * Number of the store's history of versions. It rises each time the store is restored from an older
 * copy: versions that it gave out after the copy was made are given out again for other changes, so
 * versions of different eras must not be compared.
 *
 * @param value number as the store states it, or that of {@link #UNKNOWN}
 */
public record StoreEra(long value) implements Comparable<StoreEra> {
    /** Era of a store that has stated none; lower than all others. */
    public static final StoreEra UNKNOWN = new StoreEra(-1);

    /**
     * Parses the era of a response.
     *
     * @throws IllegalArgumentException if the text is not a number of 0 or more
     */
    public static StoreEra parse(String text) {
        long value = Long.parseLong(text);
        if (value < 0) {
            throw new IllegalArgumentException("era " + value + " is negative");
        }
        return new StoreEra(value);
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
