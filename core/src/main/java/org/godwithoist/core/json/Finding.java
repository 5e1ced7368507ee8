package org.godwithoist.core.json;

/**
 * A fault in a file, with its place.
 *
 * @param place where the fault stands
 * @param message one sentence that says what is wrong and what is permitted
 */
public record Finding(Place place, String message) {
    @Override
    public String toString() {
        return place + ": " + message;
    }
}
