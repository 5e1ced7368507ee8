package org.godwithoist.bundle;

import java.util.Locale;
import java.util.Optional;
import org.godwithoist.core.id.OperatorName;

/** Stage of a proposal; determines who may advance it to the next stage. */
public enum Stage {
    /** Not stored yet. */
    DRAFT("submit") {
        @Override
        public Optional<Stage> next() {
            return Optional.of(SUBMITTED);
        }

        @Override
        public Optional<String> denialReason(Proposal p, OperatorName by) {
            return by.equals(p.author().operator())
                    ? Optional.empty()
                    : Optional.of("the author's own signature is needed to submit a bundle");
        }
    },
    /** Stored, so that other operators can review it. */
    SUBMITTED("review") {
        @Override
        public Optional<Stage> next() {
            return Optional.of(REVIEWED);
        }

        @Override
        public Optional<String> denialReason(Proposal p, OperatorName by) {
            return notAuthor(p, by);
        }
    },
    /** Reviewed by an operator other than the author. */
    REVIEWED("sign") {
        @Override
        public Optional<Stage> next() {
            return Optional.of(SIGNED);
        }

        @Override
        public Optional<String> denialReason(Proposal p, OperatorName by) {
            return notAuthor(p, by);
        }
    },
    /** Signed by an operator other than the author. */
    SIGNED("roll") {
        @Override
        public Optional<Stage> next() {
            return Optional.of(ROLLED);
        }

        @Override
        public Optional<String> denialReason(Proposal p, OperatorName by) {
            return Optional.empty();
        }
    },
    /** Put in force; a later revision may have replaced it. */
    ROLLED("") {
        @Override
        public Optional<Stage> next() {
            return Optional.empty();
        }

        @Override
        public Optional<String> denialReason(Proposal p, OperatorName by) {
            return Optional.of("a rolled bundle has no further stage");
        }
    };

    private final String action;

    Stage(String action) {
        this.action = action;
    }

    /** Returns the command that leads to the next stage; empty for the last stage. */
    public String action() {
        return action;
    }

    /** Returns the stage after this one, or empty for the last stage. */
    public abstract Optional<Stage> next();

    /** Returns why an operator may not advance the proposal, or empty if it is permitted. */
    public abstract Optional<String> denialReason(Proposal p, OperatorName by);

    /** Returns the lower-case name used in rows and responses. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the stage with the given {@link #wireName}, or empty if there is none. */
    public static Optional<Stage> fromWireName(String name) {
        for (Stage s : values()) {
            if (s.wireName().equals(name)) {
                return Optional.of(s);
            }
        }
        return Optional.empty();
    }

    private static Optional<String> notAuthor(Proposal p, OperatorName by) {
        return by.equals(p.author().operator())
                ? Optional.of("the author " + by + " must not review or sign their own bundle")
                : Optional.empty();
    }
}
