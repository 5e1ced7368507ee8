package org.godwithoist.targets;

/**
 * This daemon's share of limits that apply to all daemons together. Each daemon computes its share
 * from the same list of daemons, so that no coordination per request is needed.
 *
 * @param members number of daemons that may be running, at least 1
 * @param rank position of this daemon in the list, from 0
 * @param newlyJoined whether the other daemons may not know this daemon yet
 */
public record FleetShare(int members, int rank, boolean newlyJoined) {
    /**
     * Validates the rank.
     *
     * @throws IllegalArgumentException if the rank is not in the range from 0 to {@code members -
     *     1}
     */
    public FleetShare {
        if (members < 1 || rank < 0 || rank >= members) {
            throw new IllegalArgumentException(
                    "rank "
                            + rank
                            + " is out of range for "
                            + members
                            + " members; expected 0 to members - 1");
        }
    }

    /** Creates the share of a daemon that the other daemons know. */
    public FleetShare(int members, int rank) {
        this(members, rank, false);
    }

    /** Returns the share that applies once the other daemons know this daemon. */
    public FleetShare asKnownMember() {
        return new FleetShare(members, rank);
    }

    /**
     * Returns this daemon's share of an integer limit. The shares of all daemons add up to the
     * limit. A newly joined daemon has none, because the other daemons still divide the full limit
     * among themselves.
     *
     * @param limit units for all daemons together
     * @param salt distributes the remainder of the division over different daemons
     */
    public int of(int limit, int salt) {
        if (newlyJoined) {
            return 0;
        }
        int remainder = limit % members;
        int position = Math.floorMod(rank + salt, members);
        return limit / members + (position < remainder ? 1 : 0);
    }

    /**
     * Returns this daemon's share of an amount that can be divided into fractions. A newly joined
     * daemon gets its share immediately: such amounts cover windows of several seconds and are
     * rarely used up.
     */
    public double of(double amount) {
        return amount / members;
    }
}
