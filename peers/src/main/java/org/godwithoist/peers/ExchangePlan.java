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
    static final ExchangePlan NO_PEERS = new ExchangePlan(ExchangeRole.MESH, Map.of());

    /** Maximum number of daemons in a fleet in which each daemon reports to all others. */
    static final int MAX_MESH_SIZE = 16;

    /**
     * Number of daemons, lowest ids first, of each other domain that receive the sums in any case.
     * Daemons of the domain from which messages were received get them too.
     */
    private static final int MIN_RECEIVERS_PER_DOMAIN = 2;

    /** Makes an unmodifiable copy of the receivers. */
    ExchangePlan {
        receivers = Map.copyOf(receivers);
    }

    /** Returns whether this daemon leads its failure domain. */
    boolean isLeader() {
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
     * @param unresponsive whether a daemon is unresponsive, that is, an expected message is overdue
     * @param recentlyActive whether a message was recently received from a daemon
     */
    static ExchangePlan of(
            Member self,
            Collection<Member> others,
            Predicate<HostId> unresponsive,
            Predicate<HostId> recentlyActive) {
        if (others.size() < MAX_MESH_SIZE) {
            Map<HostId, PeerLoads.Scope> receivers = new HashMap<>();
            others.forEach(m -> receivers.put(m.host(), PeerLoads.Scope.OWN));
            return new ExchangePlan(ExchangeRole.MESH, receivers);
        }
        List<Member> sortedById =
                others.stream().sorted(Comparator.comparing(Member::host)).toList();
        for (Member m : sortedById) {
            boolean hasLowerId = m.host().compareTo(self.host()) < 0;
            if (m.domain().equals(self.domain()) && hasLowerId && !unresponsive.test(m.host())) {
                return new ExchangePlan(ExchangeRole.MEMBER, Map.of(m.host(), PeerLoads.Scope.OWN));
            }
        }
        return new ExchangePlan(
                ExchangeRole.LEADER, receiversOfLeader(self, sortedById, recentlyActive));
    }

    private static Map<HostId, PeerLoads.Scope> receiversOfLeader(
            Member self, List<Member> sortedById, Predicate<HostId> recentlyActive) {
        Map<HostId, PeerLoads.Scope> receivers = new HashMap<>();
        Map<FailureDomainId, List<Member>> otherDomains = new TreeMap<>(byValue());
        for (Member m : sortedById) {
            if (m.domain().equals(self.domain())) {
                receivers.put(m.host(), PeerLoads.Scope.FLEET);
            } else {
                otherDomains.computeIfAbsent(m.domain(), d -> new ArrayList<>()).add(m);
            }
        }
        for (List<Member> members : otherDomains.values()) {
            for (int i = 0; i < members.size(); i++) {
                HostId host = members.get(i).host();
                if (i < MIN_RECEIVERS_PER_DOMAIN || recentlyActive.test(host)) {
                    receivers.put(host, PeerLoads.Scope.DOMAIN);
                }
            }
        }
        return receivers;
    }

    private static Comparator<FailureDomainId> byValue() {
        return Comparator.comparing(FailureDomainId::value);
    }
}
