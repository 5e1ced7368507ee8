package org.godwithoist.loadtool.load;

/** Prints each checked guarantee and records whether all of them hold. Not thread-safe. */
public final class GuaranteeChecks {
    private boolean allHold = true;

    /** Prints a guarantee and whether it holds. */
    public void check(boolean holds, String guarantee) {
        System.out.println((holds ? "  ok      " : "  BROKEN  ") + guarantee);
        allHold &= holds;
    }

    /** Returns whether every guarantee checked so far holds; true without checks. */
    public boolean allHold() {
        return allHold;
    }
}
