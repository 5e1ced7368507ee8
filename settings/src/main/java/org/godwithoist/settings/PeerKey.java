package org.godwithoist.settings;

/**
 * A key with which daemons sign their messages to each other.
 *
 * @param id name of the key, sent with each message
 * @param secret shared secret, at least 16 characters
 */
public record PeerKey(String id, String secret) {
    private static final int MIN_SECRET_LENGTH = 16;

    /** Checks the parts. */
    public PeerKey {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("a peer key needs an id");
        }
        if (secret.length() < MIN_SECRET_LENGTH) {
            throw new IllegalArgumentException(
                    "the secret must have at least " + MIN_SECRET_LENGTH + " characters");
        }
    }

    /** Hides the secret, so that it cannot reach a log. */
    @Override
    public String toString() {
        return "PeerKey[" + id + "]";
    }
}
