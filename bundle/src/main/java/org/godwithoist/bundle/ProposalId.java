package org.godwithoist.bundle;

import java.util.Locale;

/**
 * Id of a proposal: the revision number that it is proposed as and the start of its manifest hash.
 * Ids are row keys and sort by revision, because the number has a fixed width.
 *
 * @param value for example {@code 0000000012-3f9a0c1d2e4b}
 */
public record ProposalId(String value) {
    private static final int HASH_DIGITS = 12;
    private static final int PAGE_DIGITS = 8;

    /** Number of revisions whose proposals share a prefix. */
    public static final int PAGE_SIZE = 100;

    /**
     * Validates the form.
     *
     * @throws IllegalArgumentException if the text is not the id of a proposal
     */
    public ProposalId {
        if (!value.matches("[0-9]{10}-[0-9a-f]{12}")) {
            throw new IllegalArgumentException(
                    "'" + value + "' is not a proposal id, such as 0000000012-3f9a0c1d2e4b");
        }
    }

    /** Creates an id from a revision number and the hash of a manifest. */
    public static ProposalId of(long revision, ContentHash manifest) {
        return new ProposalId(
                String.format(
                        Locale.ROOT,
                        "%010d-%s",
                        revision,
                        manifest.hex().substring(0, HASH_DIGITS)));
    }

    /** Returns the revision number that the proposal is for. */
    public long revision() {
        return Long.parseLong(value.substring(0, value.indexOf('-')));
    }

    /** Returns the common prefix of the ids of all proposals for one revision. */
    public static String prefix(long revision) {
        return String.format(Locale.ROOT, "%010d-", revision);
    }

    /**
     * Returns the common prefix of the ids of all proposals on the same page of {@link #PAGE_SIZE}
     * revisions. It allows the history to be read without a scan of the complete table.
     */
    public static String pagePrefix(long revision) {
        return String.format(Locale.ROOT, "%010d", revision / PAGE_SIZE * PAGE_SIZE)
                .substring(0, PAGE_DIGITS);
    }

    @Override
    public String toString() {
        return value;
    }
}
