package org.godwithoist.loadtool.load;

/** Prints each checked promise and remembers whether one is broken. Used by one thread. */
public final class Promises {
    private boolean allHeld = true;

    /** Prints a promise and whether it held. */
    public void check(boolean holds, String promise) {
        System.out.println((holds ? "  ok      " : "  BROKEN  ") + promise);
        allHeld &= holds;
    }

    /** Returns whether every promise held. */
    public boolean allHeld() {
        return allHeld;
    }
}
