package org.godwithoist.bundle;

import java.util.Locale;

/**
 * Names a proposal: the revision that it wants to become and the start of its manifest's hash. Ids
 * sort by revision, because they are row keys.
 *
 * @param value for example {@code 0000000012-3f9a0c1d2e4b}
 */
public record ProposalId(String value) {
    private static final int HASH_DIGITS = 12;
    private static final int PAGE_DIGITS = 8;

    /** Revisions whose proposals one prefix covers. */
    public static final int PAGE_SIZE = 100;

    /** Checks the form. */
    public ProposalId {
        if (!value.matches("[0-9]{10}-[0-9a-f]{12}")) {
            throw new IllegalArgumentException("'" + value + "' is not the id of a proposal");
        }
    }

    /** Returns the id of a proposal. */
    public static ProposalId of(long revision, ContentHash manifest) {
        return new ProposalId(
                String.format(
                        Locale.ROOT,
                        "%010d-%s",
                        revision,
                        manifest.hex().substring(0, HASH_DIGITS)));
    }

    /** Returns the revision that the proposal wants to become. */
    public long revision() {
        return Long.parseLong(value.substring(0, value.indexOf('-')));
    }

    /** Returns the common start of the ids of all proposals for one revision. */
    public static String prefix(long revision) {
        return String.format(Locale.ROOT, "%010d-", revision);
    }

    /**
     * Returns the common start of the ids of the hundred revisions around one, so that a history is
     * read without a scan of the whole table.
     */
    public static String hundredPrefix(long revision) {
        return String.format(Locale.ROOT, "%010d", revision / PAGE_SIZE * PAGE_SIZE)
                .substring(0, PAGE_DIGITS);
    }

    @Override
    public String toString() {
        return value;
    }
}
