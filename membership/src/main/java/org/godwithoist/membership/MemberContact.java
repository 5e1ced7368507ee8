package org.godwithoist.membership;

import java.util.Optional;

/** State of one other member. Guarded by the lock of {@link FleetMembers}. */
final class MemberContact {
    private final long hash;
    private Member member;
    private boolean listed;

    /** Whether the endpoint comes from the member itself and not from the host list. */
    private boolean announced;

    private Optional<Long> lastContact = Optional.empty();

    /**
     * Ticker time from which the removal time counts: the last contact, or a later time if the
     * member is new or this process was paused.
     */
    private long noResponseSince;

    private Optional<Long> leftAt = Optional.empty();

    MemberContact(Member member, long now) {
        this.member = member;
        this.hash = GroupLayout.hash(member.host());
        this.noResponseSince = now;
    }

    long hash() {
        return hash;
    }

    /** Returns the hash that identifies the member in summaries. */
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

    long noResponseSince() {
        return noResponseSince;
    }

    void setNoResponseSince(long time) {
        noResponseSince = time;
    }

    /** Records a contact at a time; a time before the last contact has no effect. */
    void recordContact(long time) {
        if (lastContact.isEmpty() || time - lastContact.get() > 0) {
            lastContact = Optional.of(time);
            if (time - noResponseSince > 0) {
                noResponseSince = time;
            }
        }
    }

    /** Resets the contact because a new incarnation of the member has started. */
    void resetContact(long now) {
        leftAt = Optional.empty();
        lastContact = Optional.empty();
        noResponseSince = now;
    }

    /** Returns whether there was contact at or after a time and the member has not left. */
    boolean hadContactSince(long time) {
        return leftAt.isEmpty() && lastContact.filter(t -> t - time >= 0).isPresent();
    }
}
