package org.godwithoist.bundle;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.json.FindingsException;

/**
 * A bundle with its manifest and the bytes of its parts. Immutable. Parsed parts are kept with it,
 * so that the next revision parses only what changed.
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

    /** Looks up a part that an earlier revision has parsed already. */
    @FunctionalInterface
    public interface ParsedParts {
        /** Returns the entries of the part with the given content, or empty. */
        Optional<PartContent> find(ContentHash content);
    }

    /**
     * Puts a revision together from its parts.
     *
     * @param manifest manifest whose parts are all in {@code objects}
     * @param objects bytes by hash; each must match its hash, which the caller has checked
     * @param earlier parts that need not be parsed again
     * @throws FindingsException if a part is not readable
     * @throws IllegalArgumentException if the parts contradict each other
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
        Bundle bundle = PartContent.join(parsed.values());
        return new Revision(manifest, hash, bytes, parsed, bundle);
    }

    /** Returns the parts and their hashes. */
    public Manifest manifest() {
        return manifest;
    }

    /** Returns the name of the manifest. */
    public ContentHash hash() {
        return hash;
    }

    /** Returns the bytes of the manifest and of all parts by hash. */
    public Map<ContentHash, byte[]> objects() {
        return objects;
    }

    /** Returns the entries of a part if it belongs to this revision. */
    public Optional<PartContent> parsed(ContentHash content) {
        return Optional.ofNullable(parsed.get(content));
    }

    /** Returns the content. */
    public Bundle bundle() {
        return bundle;
    }
}
