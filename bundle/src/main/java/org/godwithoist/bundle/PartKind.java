package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** Kind of entries in a part of a bundle; determines how entries are assigned to parts. */
public enum PartKind {
    /** Failure domains and service levels, all in one part. */
    FLEET {
        @Override
        public PartName nameFor(String id) {
            return new PartName(this, "all");
        }
    },
    /** Workspaces, divided into a fixed number of groups. */
    WORKSPACES {
        @Override
        public PartName nameFor(String id) {
            // The hash keeps a workspace in its group when others are added or removed.
            int hash = ContentHash.of(id.getBytes(StandardCharsets.UTF_8)).hex().hashCode();
            return new PartName(this, Integer.toString(Math.floorMod(hash, WORKSPACE_GROUPS)));
        }
    },
    /** Pools, one part for each. */
    POOL {
        @Override
        public PartName nameFor(String id) {
            return new PartName(this, id);
        }
    },
    /** Models, one part for each. */
    MODEL {
        @Override
        public PartName nameFor(String id) {
            return new PartName(this, id);
        }
    };

    /**
     * Number of workspace groups. With 2,300 workspaces the manifest and one group have about the
     * same size, which nearly minimizes the bytes transferred for a change of one workspace.
     */
    public static final int WORKSPACE_GROUPS = 64;

    /** Returns the name of the part that contains the entry with the given id. */
    public abstract PartName nameFor(String id);

    /** Returns the lower-case name used in manifests. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kind with the given {@link #wireName}, or empty if there is none. */
    public static Optional<PartKind> fromWireName(String name) {
        for (PartKind k : values()) {
            if (k.wireName().equals(name)) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }
}
