package org.godwithoist.targets;

/**
 * This daemon's share of limits that hold for all daemons together. Each daemon works out its own
 * share from the same list of daemons, so no agreement is needed for each call.
 *
 * @param members daemons that may be at work, at least one
 * @param rank place of this daemon among them, from 0
 * @param newcomer whether the others may not know this daemon yet
 */
public record FleetShare(int members, int rank, boolean newcomer) {
    /**
     * Checks the share.
     *
     * @throws IllegalArgumentException if the rank is not among the members
     */
    public FleetShare {
        if (members < 1 || rank < 0 || rank >= members) {
            throw new IllegalArgumentException("rank " + rank + " of " + members + " members");
        }
    }

    /** Makes the share of a daemon that the others know. */
    public FleetShare(int members, int rank) {
        this(members, rank, false);
    }

    /** Returns this share for the time from which the others know this daemon. */
    public FleetShare withOthersKnowing() {
        return new FleetShare(members, rank);
    }

    /**
     * Returns this daemon's part of a whole number. The parts of all daemons add up to the limit; a
     * newcomer has none, because the others still share the whole of it.
     *
     * @param limit units for all daemons together
     * @param salt spreads the units that remain after division over different daemons
     */
    public int of(int limit, int salt) {
        if (newcomer) {
            return 0;
        }
        int remainder = limit % members;
        int place = Math.floorMod(rank + salt, members);
        return limit / members + (place < remainder ? 1 : 0);
    }

    /**
     * Returns this daemon's part of an amount that can be divided at will. A newcomer has its part
     * at once: such amounts are for spans of several seconds and are seldom used up.
     */
    public double of(double amount) {
        return amount / members;
    }
}
