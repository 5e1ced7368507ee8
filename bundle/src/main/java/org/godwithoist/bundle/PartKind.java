package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** What a part of a bundle holds; decides how the bundle is cut into parts of that kind. */
public enum PartKind {
    /** The failure domains and service levels; one part. */
    FLEET {
        @Override
        public PartName nameFor(String id) {
            return new PartName(this, "all");
        }
    },
    /** One group of workspaces. */
    WORKSPACES {
        @Override
        public PartName nameFor(String id) {
            // The hash keeps a workspace in its group when others come or go.
            int first = ContentHash.of(id.getBytes(StandardCharsets.UTF_8)).hex().hashCode();
            return new PartName(this, Integer.toString(Math.floorMod(first, GROUPS)));
        }
    },
    /** One pool. */
    POOL {
        @Override
        public PartName nameFor(String id) {
            return new PartName(this, id);
        }
    },
    /** One model. */
    MODEL {
        @Override
        public PartName nameFor(String id) {
            return new PartName(this, id);
        }
    };

    /**
     * Groups of workspaces. With 2,300 workspaces the manifest and one group have about the same
     * size, which keeps the bytes moved for a change of one workspace near their minimum.
     */
    public static final int GROUPS = 64;

    /** Returns the name of the part that holds the entry with the given id. */
    public abstract PartName nameFor(String id);

    /** Returns the name used in manifests. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with the given name in manifests, or empty if there is none. */
    public static Optional<PartKind> fromWireName(String name) {
        for (PartKind k : values()) {
            if (k.wireName().equals(name)) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }
}
