package org.godwithoist.bundle;

/**
 * Identifies the bundle in force. Stored in the head row and exchanged unchanged between daemons.
 *
 * @param revision revision number, from 1
 * @param manifest hash of its manifest
 * @param author the author's signature
 * @param signer the signer's signature
 */
public record Head(
        long revision, ContentHash manifest, OperatorSignature author, OperatorSignature signer) {
    /**
     * Validates the revision number; signatures are verified by {@link OperatorKeys}.
     *
     * @throws IllegalArgumentException if the revision is below 1
     */
    public Head {
        if (revision < 1) {
            throw new IllegalArgumentException("revision must be at least 1, not " + revision);
        }
    }
}
