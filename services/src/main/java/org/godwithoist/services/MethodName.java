package org.godwithoist.services;

/**
 * Method of a request, for example {@code POST}.
 *
 * @param value name as received
 */
public record MethodName(String value) {
    /** Returns whether a request with this method changes nothing, so that it may be retried. */
    public boolean isSafe() {
        return value.equals("GET") || value.equals("HEAD");
    }

    @Override
    public String toString() {
        return value;
    }
}
