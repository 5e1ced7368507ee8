package org.godwithoist.bundle;

import java.util.Comparator;

/**
 * Name of a part within its bundle.
 *
 * @param kind kind of entries in the part
 * @param id number of the workspace group, pool id, model id or {@code all}; printable ASCII
 *     without spaces
 */
public record PartName(PartKind kind, String id) implements Comparable<PartName> {
    private static final Comparator<PartName> ORDER =
            Comparator.comparing(PartName::kind).thenComparing(PartName::id);

    /**
     * Parses {@code kind/id}.
     *
     * @throws IllegalArgumentException if the text is malformed or the kind is unknown
     */
    public static PartName parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0 || slash == text.length() - 1) {
            throw new IllegalArgumentException("'" + text + "' is not of the form kind/id");
        }
        PartKind kind =
                PartKind.fromWireName(text.substring(0, slash))
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "'" + text + "' has an unknown kind of part"));
        return new PartName(kind, text.substring(slash + 1));
    }

    @Override
    public int compareTo(PartName other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.wireName() + "/" + id;
    }
}
