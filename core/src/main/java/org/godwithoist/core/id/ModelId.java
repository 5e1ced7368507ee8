package org.godwithoist.core.id;

/**
 * Identifies a model by the name that callers use. Models are defined by bundles.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 100;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public ModelId {
        IdText.check("ModelId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
