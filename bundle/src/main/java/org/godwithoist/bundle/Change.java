package org.godwithoist.bundle;

/**
 * One difference between two bundles.
 *
 * @param kind what happened
 * @param subject the entry, for example {@code workspace antwerp}
 * @param field field that changed; empty if the whole entry was added or removed
 * @param before earlier value as text; empty if added
 * @param after later value as text; empty if removed
 */
public record Change(Kind kind, String subject, String field, String before, String after) {
    /** What happened to an entry; words the change. */
    public enum Kind {
        /** The entry is new. */
        ADDED {
            @Override
            String describe(Change c) {
                return c.subject + " is added: " + c.after;
            }
        },
        /** The entry is gone. */
        REMOVED {
            @Override
            String describe(Change c) {
                return c.subject + " is removed";
            }
        },
        /** A field has another value. */
        CHANGED {
            @Override
            String describe(Change c) {
                return c.subject + ": " + c.field + " changes from " + c.before + " to " + c.after;
            }
        };

        abstract String describe(Change c);
    }

    /** Returns the change as one line in plain words. */
    public String describe() {
        return kind.describe(this);
    }
}
