package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * List of the parts of one bundle revision. Immutable. Identified by the hash of its encoding; the
 * encoding is canonical, so equal parts have equal hashes.
 *
 * @param parts content hash of each part by name
 */
public record Manifest(SortedMap<PartName, ContentHash> parts) {
    private static final String FIRST_LINE = "godwithoist-manifest 1";
    private static final int MAX_BYTES = 4 << 20;

    /** Makes an unmodifiable copy of the map. */
    public Manifest {
        parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
    }

    /** Encodes as UTF-8 text: a version line, then one line per part in the order of names. */
    public byte[] encode() {
        StringBuilder b = new StringBuilder(FIRST_LINE).append('\n');
        parts.forEach((name, hash) -> b.append(name).append(' ').append(hash).append('\n'));
        return b.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes the output of {@link #encode}.
     *
     * @throws IllegalArgumentException if the manifest is malformed, too large or of an unknown
     *     version
     */
    public static Manifest decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            throw new IllegalArgumentException("manifest is larger than " + MAX_BYTES + " bytes");
        }
        TreeMap<PartName, ContentHash> parts = new TreeMap<>();
        boolean first = true;
        for (String line : new String(bytes, StandardCharsets.UTF_8).lines().toList()) {
            if (first) {
                if (!line.equals(FIRST_LINE)) {
                    throw new IllegalArgumentException(
                            "the first line of the manifest is not '" + FIRST_LINE + "'");
                }
                first = false;
                continue;
            }
            int space = line.indexOf(' ');
            if (space < 0) {
                throw new IllegalArgumentException("manifest line '" + line + "' has no hash");
            }
            PartName name = PartName.parse(line.substring(0, space));
            if (parts.put(name, new ContentHash(line.substring(space + 1))) != null) {
                throw new IllegalArgumentException("duplicate part in the manifest: " + name);
            }
        }
        if (first) {
            throw new IllegalArgumentException("manifest is empty");
        }
        return new Manifest(parts);
    }

    /** Computes the hash of the encoded manifest. */
    public ContentHash hash() {
        return ContentHash.of(encode());
    }
}
