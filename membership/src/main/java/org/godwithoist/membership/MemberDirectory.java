package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.HostId;

/** Daemons of the fleet known to this daemon, itself included. Thread-safe. */
public interface MemberDirectory {
    /** Returns this daemon. */
    Member self();

    /** Returns the members in host order, including unresponsive ones that were not removed yet. */
    List<Member> members();

    /** Returns a member, or empty if it is unknown. */
    Optional<Member> find(HostId host);

    /**
     * Returns whether every member responded to an exchange within the contact time (2 s). Members
     * that have not responded for the removal time (15 s) are not counted.
     */
    boolean inContactWithAll();

    /**
     * Returns whether a member responded to an exchange within the contact time; true for this
     * daemon.
     */
    boolean inContactWith(HostId host);

    /** Returns whether a member has not responded for the removal time, has left or is unknown. */
    boolean isUnresponsive(HostId host);
}
