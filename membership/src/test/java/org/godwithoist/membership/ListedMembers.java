package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.id.HostId;

/** Directory with a fixed list of members, some of which are unresponsive or out of contact. */
record ListedMembers(Member self, List<Member> members, Set<HostId> unresponsive, Set<HostId> late)
        implements MemberDirectory {
    @Override
    public Optional<Member> find(HostId host) {
        return members.stream().filter(m -> m.host().equals(host)).findFirst();
    }

    @Override
    public boolean inContactWithAll() {
        return late.isEmpty();
    }

    @Override
    public boolean inContactWith(HostId host) {
        return !late.contains(host) && !unresponsive.contains(host);
    }

    @Override
    public boolean isUnresponsive(HostId host) {
        return unresponsive.contains(host) && !host.equals(self.host());
    }
}
