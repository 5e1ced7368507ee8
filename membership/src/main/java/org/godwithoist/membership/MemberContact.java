package org.godwithoist.membership;

import java.util.Optional;

/** What a daemon knows of one other member. Guarded by the lock of {@link FleetMembers}. */
final class MemberContact {
    private final long hash;
    private Member member;
    private boolean listed;
    private boolean announced;
    private Optional<Long> lastContact = Optional.empty();
    private long silentFrom;
    private Optional<Long> leftAt = Optional.empty();

    MemberContact(Member member, long now) {
        this.member = member;
        this.hash = GroupLayout.hash(member.host());
        this.silentFrom = now;
    }

    long hash() {
        return hash;
    }

    /** Returns the hash that stands for the member in summaries. */
    int shortHash() {
        return shortHash(hash);
    }

    static int shortHash(long hash) {
        // The low bits are equal for all members of a group.
        return (int) (hash >>> 32);
    }

    Member member() {
        return member;
    }

    void setMember(Member value) {
        member = value;
    }

    boolean listed() {
        return listed;
    }

    void setListed(boolean value) {
        listed = value;
    }

    boolean announced() {
        return announced;
    }

    void setAnnounced(boolean value) {
        announced = value;
    }

    Optional<Long> lastContact() {
        return lastContact;
    }

    Optional<Long> leftAt() {
        return leftAt;
    }

    void setLeftAt(Optional<Long> time) {
        leftAt = time;
    }

    long silentFrom() {
        return silentFrom;
    }

    void setSilentFrom(long time) {
        silentFrom = time;
    }

    /** Takes a contact at a time; an earlier one changes nothing. */
    void contact(long time) {
        if (lastContact.isEmpty() || time - lastContact.get() > 0) {
            lastContact = Optional.of(time);
            if (time - silentFrom > 0) {
                silentFrom = time;
            }
        }
    }

    /** Counts contact and silence from now on, because a new run of the member has started. */
    void restart(long now) {
        leftAt = Optional.empty();
        lastContact = Optional.empty();
        silentFrom = now;
    }

    /** Returns whether there was contact at a time or after it. */
    boolean contactSince(long time) {
        return leftAt.isEmpty() && lastContact.filter(t -> t - time >= 0).isPresent();
    }
}
