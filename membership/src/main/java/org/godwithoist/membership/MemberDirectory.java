package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.HostId;

/** The daemons of the fleet that this daemon knows, itself included. Thread-safe. */
public interface MemberDirectory {
    /** Returns this daemon. */
    Member self();

    /** Returns the members in host order; includes members that have been silent for a while. */
    List<Member> members();

    /** Returns a member, or empty if it is unknown. */
    Optional<Member> find(HostId host);

    /**
     * Returns whether every member answered an exchange within the contact time (2 s), not counting
     * members that have been silent for the removal time (15 s).
     */
    boolean inContactWithAll();

    /** Returns whether a member answered an exchange within the contact time. */
    boolean inContactWith(HostId host);

    /** Returns whether a member has been silent for the removal time or is not known. */
    boolean isUnresponsive(HostId host);
}
