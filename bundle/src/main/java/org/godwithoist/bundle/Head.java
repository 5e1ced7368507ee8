package org.godwithoist.bundle;

/**
 * Which bundle is in force: the content of the head row, passed between daemons as it is.
 *
 * @param revision number of the revision, from 1
 * @param manifest name of its manifest
 * @param author the author's signature
 * @param signer the signer's signature
 */
public record Head(
        long revision, ContentHash manifest, OperatorSignature author, OperatorSignature signer) {
    /** Checks the number. */
    public Head {
        if (revision < 1) {
            throw new IllegalArgumentException("revisions count from 1, not " + revision);
        }
    }
}
