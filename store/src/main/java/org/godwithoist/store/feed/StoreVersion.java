package org.godwithoist.store.feed;

/**
 * A version of the store. Versions are ordered within an era only, because a restored store gives
 * out the numbers of lost changes again.
 *
 * @param era era in which the store gave out the version
 * @param number counter of changes of the store
 */
public record StoreVersion(StoreEra era, long number) {
    /** Returns whether both versions can be compared. */
    public boolean sameEra(StoreVersion other) {
        return era.equals(other.era);
    }

    /**
     * Returns whether this version precedes another of the same era.
     *
     * @throws IllegalArgumentException if the eras differ
     */
    public boolean isBefore(StoreVersion other) {
        if (!sameEra(other)) {
            throw new IllegalArgumentException(
                    "versions " + this + " and " + other + " are of different eras");
        }
        return number < other.number;
    }

    /**
     * Returns the earlier of two versions of the same era.
     *
     * @throws IllegalArgumentException if the eras differ
     */
    public StoreVersion min(StoreVersion other) {
        return isBefore(other) ? this : other;
    }

    /**
     * Returns the later of two versions of the same era.
     *
     * @throws IllegalArgumentException if the eras differ
     */
    public StoreVersion max(StoreVersion other) {
        return isBefore(other) ? other : this;
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
