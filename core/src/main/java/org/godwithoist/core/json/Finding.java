package org.godwithoist.core.json;

/**
 * A validation error in a file.
 *
 * @param location location of the invalid value
 * @param message one sentence that says what is wrong and what is permitted
 */
public record Finding(SourceLocation location, String message) {
    @Override
    public String toString() {
        return location + ": " + message;
    }
}
