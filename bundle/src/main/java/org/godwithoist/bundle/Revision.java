package org.godwithoist.bundle;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.json.FindingsException;

/**
 * Bundle with its manifest and the encoded parts. Immutable. Parsed parts are retained, so that the
 * next revision only needs to parse the parts that changed.
 */
public final class Revision {
    private final Manifest manifest;
    private final ContentHash hash;
    private final Map<ContentHash, byte[]> objects;
    private final Map<ContentHash, PartContent> parsed;
    private final Bundle bundle;

    private Revision(
            Manifest manifest,
            ContentHash hash,
            Map<ContentHash, byte[]> objects,
            Map<ContentHash, PartContent> parsed,
            Bundle bundle) {
        this.manifest = manifest;
        this.hash = hash;
        this.objects = Collections.unmodifiableMap(objects);
        this.parsed = parsed;
        this.bundle = bundle;
    }

    /** Looks up parts that were parsed for another revision. */
    @FunctionalInterface
    public interface ParsedParts {
        /** Returns the entries of the part with the given hash, or empty if it is not parsed. */
        Optional<PartContent> find(ContentHash content);
    }

    /**
     * Assembles a revision from its parts.
     *
     * @param manifest manifest whose parts are all in {@code objects}
     * @param objects encoded parts by hash; the caller has verified the hashes
     * @param earlier parts that need not be parsed again
     * @throws FindingsException if a part has validation errors
     * @throws IllegalArgumentException if a part is missing or the parts are inconsistent
     */
    public static Revision assemble(
            Manifest manifest, Map<ContentHash, byte[]> objects, ParsedParts earlier) {
        Map<ContentHash, byte[]> bytes = new HashMap<>();
        Map<ContentHash, PartContent> parsed = new HashMap<>();
        byte[] encoded = manifest.encode();
        ContentHash hash = ContentHash.of(encoded);
        bytes.put(hash, encoded);
        manifest.parts()
                .forEach(
                        (name, content) -> {
                            byte[] part = objects.get(content);
                            if (part == null) {
                                throw new IllegalArgumentException("part " + name + " is missing");
                            }
                            bytes.put(content, part);
                            parsed.put(
                                    content,
                                    earlier.find(content)
                                            .orElseGet(() -> BundleParser.parsePart(name, part)));
                        });
        Bundle bundle = PartContent.merge(parsed.values());
        return new Revision(manifest, hash, bytes, parsed, bundle);
    }

    /** Returns the manifest with the content hash of each part. */
    public Manifest manifest() {
        return manifest;
    }

    /** Returns the hash of the manifest, computed once. */
    public ContentHash hash() {
        return hash;
    }

    /** Returns the encoded manifest and all encoded parts by hash, as an unmodifiable map. */
    public Map<ContentHash, byte[]> objects() {
        return objects;
    }

    /** Returns the entries of a part, or empty if this revision has no part with that hash. */
    public Optional<PartContent> parsed(ContentHash content) {
        return Optional.ofNullable(parsed.get(content));
    }

    /** Returns the entries of all parts. */
    public Bundle bundle() {
        return bundle;
    }
}
