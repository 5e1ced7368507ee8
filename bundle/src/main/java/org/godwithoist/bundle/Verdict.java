package org.godwithoist.bundle;

/** Result of comparing a received head with the head in force. */
public enum Verdict {
    /** Higher revision with valid signatures. */
    NEWER(true),
    /** Equal to the head in force. */
    CURRENT(false),
    /** Different head whose revision is not higher than the one in force. */
    OLD(false),
    /** A signature is missing or invalid, or author and signer are the same. */
    INVALID(false);

    private final boolean adoptable;

    Verdict(boolean adoptable) {
        this.adoptable = adoptable;
    }

    /** Returns whether the daemon should fetch the parts and adopt the head. */
    public boolean adoptable() {
        return adoptable;
    }
}
