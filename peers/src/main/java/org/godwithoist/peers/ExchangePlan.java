package org.godwithoist.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.targets.PeerLoads;

/**
 * Determines which reports a daemon sends to which daemons. In a small fleet each daemon reports
 * its requests to all others. In a larger fleet the number of messages would grow with the square
 * of the fleet size, so each daemon reports only to the leader of its failure domain. Leaders send
 * the sums of their domains to each other, and to each of their members the sum of all other
 * daemons. The leader is the responsive daemon with the lowest id in the domain, so no consensus is
 * needed. While two daemons consider themselves the leader, members use the reports of the one with
 * the lower id.
 *
 * @param role role of this daemon
 * @param receivers scope of the report for each receiver
 */
record ExchangePlan(ExchangeRole role, Map<HostId, PeerLoads.Scope> receivers) {
    /** Plan of a daemon that knows no other daemons. */
    static final ExchangePlan ALONE = new ExchangePlan(ExchangeRole.EQUAL, Map.of());

    /** Maximum number of daemons in a fleet in which each daemon reports to all others. */
    static final int MESH_SIZE = 16;

    /**
     * Number of daemons, lowest ids first, of each other domain that receive the sums in any case.
     * Daemons of the domain from which messages were received get them too.
     */
    private static final int LEADERS_TOLD = 2;

    /** Makes an unmodifiable copy of the receivers. */
    ExchangePlan {
        receivers = Map.copyOf(receivers);
    }

    /** Returns whether this daemon leads its failure domain. */
    boolean leads() {
        return role == ExchangeRole.LEADER;
    }

    /**
     * Returns the leader of this daemon's failure domain; empty if this daemon is the leader or if
     * the fleet has no leaders.
     */
    Optional<HostId> leader() {
        return role == ExchangeRole.MEMBER
                ? receivers.keySet().stream().findFirst()
                : Optional.empty();
    }

    /**
     * Creates the plan of a daemon.
     *
     * @param self this daemon
     * @param others all other known daemons
     * @param silent whether a daemon is unresponsive, that is, an expected message is overdue
     * @param speaks whether a message was recently received from a daemon
     */
    static ExchangePlan of(
            Member self,
            Collection<Member> others,
            Predicate<HostId> silent,
            Predicate<HostId> speaks) {
        if (others.size() < MESH_SIZE) {
            Map<HostId, PeerLoads.Scope> all = new HashMap<>();
            others.forEach(m -> all.put(m.host(), PeerLoads.Scope.OWN));
            return new ExchangePlan(ExchangeRole.EQUAL, all);
        }
        List<Member> inOrder = others.stream().sorted(Comparator.comparing(Member::host)).toList();
        for (Member m : inOrder) {
            boolean before = m.host().compareTo(self.host()) < 0;
            if (m.domain().equals(self.domain()) && before && !silent.test(m.host())) {
                return new ExchangePlan(ExchangeRole.MEMBER, Map.of(m.host(), PeerLoads.Scope.OWN));
            }
        }
        return new ExchangePlan(ExchangeRole.LEADER, toldByLeader(self, inOrder, speaks));
    }

    private static Map<HostId, PeerLoads.Scope> toldByLeader(
            Member self, List<Member> inOrder, Predicate<HostId> speaks) {
        Map<HostId, PeerLoads.Scope> told = new HashMap<>();
        Map<FailureDomainId, List<Member>> elsewhere = new TreeMap<>(byText());
        for (Member m : inOrder) {
            if (m.domain().equals(self.domain())) {
                told.put(m.host(), PeerLoads.Scope.FLEET);
            } else {
                elsewhere.computeIfAbsent(m.domain(), d -> new ArrayList<>()).add(m);
            }
        }
        for (List<Member> members : elsewhere.values()) {
            for (int i = 0; i < members.size(); i++) {
                HostId host = members.get(i).host();
                if (i < LEADERS_TOLD || speaks.test(host)) {
                    told.put(host, PeerLoads.Scope.DOMAIN);
                }
            }
        }
        return told;
    }

    private static Comparator<FailureDomainId> byText() {
        return Comparator.comparing(FailureDomainId::value);
    }
}
