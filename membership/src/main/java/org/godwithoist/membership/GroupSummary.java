package org.godwithoist.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Summary of the contacts with the members of a group. Each member that is not listed as absent
 * responded at most {@code age} ago, to the sender or to another member of its group.
 *
 * @param group the group
 * @param age age of the oldest contact among the covered members
 * @param covered exclusive or of the short hashes of the covered members; a receiver that knows
 *     other members detects that it cannot use the summary
 * @param confirmed all members of the group hold the orders of the sender
 * @param absent members that are not covered
 */
public record GroupSummary(
        GroupId group, Duration age, int covered, boolean confirmed, List<Absent> absent) {
    /** Resolution of ages in messages. */
    public static final Duration AGE_UNIT = Duration.ofMillis(10);

    /**
     * A member that the summary does not cover.
     *
     * @param hash short hash of its host id
     * @param timeSinceLeft time since it announced that it stops; empty if it did not
     */
    public record Absent(int hash, Optional<Duration> timeSinceLeft) {}

    /**
     * Contact of the sender with a member.
     *
     * @param hash short hash of its host id
     * @param lastContact ticker time of the sender in nanoseconds; empty if there was none
     * @param leftAt ticker time in nanoseconds at which it announced that it stops; empty if it did
     *     not
     */
    public record Contact(int hash, Optional<Long> lastContact, Optional<Long> leftAt) {
        private boolean hadContactSince(long time) {
            return leftAt.isEmpty() && lastContact.filter(t -> t - time >= 0).isPresent();
        }
    }

    /**
     * Creates a summary of the contacts with the members of a group.
     *
     * @param now ticker time of the sender
     * @param since members whose last contact is earlier are listed as absent, so that one
     *     unresponsive member does not increase the age of the summary
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

    /**
     * Returns whether the given members without the absent ones are exactly the covered members.
     */
    boolean covers(Collection<Integer> hashes) {
        int digest = 0;
        for (int h : hashes) {
            digest ^= isAbsent(h) ? 0 : h;
        }
        return digest == covered;
    }
}
