package org.godwithoist.membership;

/**
 * Identifies a group of members.
 *
 * @param number from 0 to the number of groups minus 1
 */
public record GroupId(int number) implements Comparable<GroupId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    public GroupId {
        if (number < 0) {
            throw new IllegalArgumentException("group number must not be negative, got " + number);
        }
    }

    @Override
    public int compareTo(GroupId other) {
        return Integer.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Integer.toString(number);
    }
}
