package org.godwithoist.settings;

/**
 * Shared key with which daemons sign their messages to each other.
 *
 * @param id key id, sent with each message
 * @param secret shared secret, at least 16 characters
 */
public record PeerKey(String id, String secret) {
    private static final int MIN_SECRET_LENGTH = 16;

    /**
     * Validates id and secret.
     *
     * @throws IllegalArgumentException if the id is empty or the secret is too short
     */
    public PeerKey {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("the id of a peer key must not be empty");
        }
        if (secret.length() < MIN_SECRET_LENGTH) {
            throw new IllegalArgumentException(
                    "the secret of a peer key must have at least "
                            + MIN_SECRET_LENGTH
                            + " characters");
        }
    }

    /** Returns the id only, so that the secret is never logged. */
    @Override
    public String toString() {
        return "PeerKey[" + id + "]";
    }
}
