package org.godwithoist.bundle;

import java.util.Optional;

/**
 * Reference to a rolled revision by its number or to a proposal by its id.
 *
 * @param revision number of a rolled revision, or the revision that the proposal is for
 * @param proposal id of the proposal; empty for a rolled revision
 */
public record BundleReference(long revision, Optional<ProposalId> proposal) {
    private static final int MAX_DIGITS = 10;

    /**
     * Parses a revision number or a proposal id.
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
