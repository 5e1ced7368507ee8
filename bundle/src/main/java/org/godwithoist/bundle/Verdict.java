package org.godwithoist.bundle;

/** What a daemon makes of a head that it received. */
public enum Verdict {
    /** Higher revision with valid signatures. */
    NEWER(true),
    /** The head in force. */
    CURRENT(false),
    /** Not higher than the head in force. */
    OLD(false),
    /** A signature is missing or wrong, or author and signer are the same. */
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
