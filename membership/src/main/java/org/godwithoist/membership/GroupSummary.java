package org.godwithoist.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * What a daemon says about the members of a group: those that are not listed as absent answered, to
 * this daemon or to another one of their group, at most {@code age} ago.
 *
 * @param group the group
 * @param age age of the oldest contact among the members covered
 * @param covered exclusive or of the short hashes of the members covered; a receiver that knows
 *     other members sees that it cannot use the summary
 * @param confirmed all members of the group hold the orders of the sender
 * @param absent members that the summary does not cover
 */
public record GroupSummary(
        GroupId group, Duration age, int covered, boolean confirmed, List<Absent> absent) {
    /** Resolution of ages in messages. */
    public static final Duration AGE_UNIT = Duration.ofMillis(10);

    /**
     * A member that the summary does not cover.
     *
     * @param hash short hash of its host id
     * @param leftAgo how long ago it said that it stops; empty if it did not
     */
    public record Absent(int hash, Optional<Duration> timeSinceLeft) {}

    /**
     * Contact with a member as the sender knows it.
     *
     * @param hash short hash of its host id
     * @param lastContact nanoseconds of the sender's clock; empty if there was none
     * @param leftAt nanoseconds at which it said that it stops
     */
    public record Contact(int hash, Optional<Long> lastContact, Optional<Long> leftAt) {
        private boolean hadContactSince(long time) {
            return leftAt.isEmpty() && lastContact.filter(t -> t - time >= 0).isPresent();
        }
    }

    /**
     * Summarises the contacts with the members of a group.
     *
     * @param now the sender's clock
     * @param since members whose contact is older are listed as absent, so that one member that
     *     does not answer leaves the summary of the others fresh
     * @return empty if no member is covered
     */
    public static Optional<GroupSummary> of(
            GroupId group, Collection<Contact> contacts, long now, long since, boolean confirmed) {
        long oldest = now;
        int covered = 0;
        List<Absent> absent = new ArrayList<>();
        for (Contact c : contacts) {
            if (c.hadContactSince(since)) {
                oldest = Math.min(oldest, c.lastContact().get());
                covered ^= c.hash();
            } else {
                absent.add(new Absent(c.hash(), c.leftAt().map(t -> roundUp(now - t))));
            }
        }
        if (absent.size() == contacts.size()) {
            return Optional.empty();
        }
        return Optional.of(
                new GroupSummary(
                        group, roundUp(now - oldest), covered, confirmed, List.copyOf(absent)));
    }

    private static Duration roundUp(long nanos) {
        long unit = AGE_UNIT.toNanos();
        return AGE_UNIT.multipliedBy((nanos + unit - 1) / unit);
    }

    /** Returns whether a member is listed as absent. */
    boolean isAbsent(int hash) {
        return absent.stream().anyMatch(a -> a.hash() == hash);
    }

    /** Returns whether the members covered are exactly those of the given that are not absent. */
    boolean covers(Collection<Integer> hashes) {
        int digest = 0;
        for (int h : hashes) {
            digest ^= isAbsent(h) ? 0 : h;
        }
        return digest == covered;
    }
}
