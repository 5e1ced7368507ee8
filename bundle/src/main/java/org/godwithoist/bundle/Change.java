package org.godwithoist.bundle;

/**
 * Difference between two bundles in one entry or field.
 *
 * @param kind kind of change
 * @param subject the entry, for example {@code workspace antwerp}
 * @param field name of the changed field; empty if the entry was added or removed
 * @param before old value as text; empty if the entry was added or removed
 * @param after new value as text, or all fields of an added entry; empty if it was removed
 */
public record Change(Kind kind, String subject, String field, String before, String after) {
    /** Kind of change and its description for operators. */
    public enum Kind {
        /** The entry exists only in the later bundle. */
        ADDED {
            @Override
            String describe(Change c) {
                return c.subject + " is added: " + c.after;
            }
        },
        /** The entry exists only in the earlier bundle. */
        REMOVED {
            @Override
            String describe(Change c) {
                return c.subject + " is removed";
            }
        },
        /** The entry exists in both bundles and one of its fields differs. */
        CHANGED {
            @Override
            String describe(Change c) {
                return c.subject + ": " + c.field + " changes from " + c.before + " to " + c.after;
            }
        };

        abstract String describe(Change c);
    }

    /** Returns a one-line description for operators, without a line break. */
    public String describe() {
        return kind.describe(this);
    }
}
