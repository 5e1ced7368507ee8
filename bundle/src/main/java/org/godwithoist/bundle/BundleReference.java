package org.godwithoist.bundle;

import java.util.Optional;

/**
 * Names a rolled revision by its number or a proposal by its id.
 *
 * @param revision number of a rolled revision, or the revision that the proposal wants to become
 * @param proposal id of the proposal; empty for a rolled revision
 */
public record BundleReference(long revision, Optional<ProposalId> proposal) {
    private static final int MAX_DIGITS = 10;

    /**
     * Reads a number or a proposal's id.
     *
     * @throws IllegalArgumentException if the text is neither
     */
    public static BundleReference parse(String text) {
        if (text.length() <= MAX_DIGITS && text.matches("[0-9]+")) {
            return new BundleReference(Long.parseLong(text), Optional.empty());
        }
        ProposalId id = new ProposalId(text);
        return new BundleReference(id.revision(), Optional.of(id));
    }
}
