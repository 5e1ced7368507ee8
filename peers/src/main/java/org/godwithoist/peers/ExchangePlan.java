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
 * To whom a daemon tells what. In a small fleet each daemon tells all others its calls. In a larger
 * one that would cost messages by the square of the fleet, so each tells only the leader of its
 * failure domain; leaders tell each other the sums of their domains, and each of their members the
 * sum of all others. The leader is the first daemon of the domain by its id that is not silent, so
 * no agreement is needed; while two daemons lead, members use what the first of them tells.
 *
 * @param role part of this daemon
 * @param receivers what each receiver is told
 */
record ExchangePlan(ExchangeRole role, Map<HostId, PeerLoads.Scope> receivers) {
    /** The plan of a daemon that knows no others. */
    static final ExchangePlan ALONE = new ExchangePlan(ExchangeRole.EQUAL, Map.of());

    /** Largest fleet in which each daemon tells all others. */
    static final int MESH_SIZE = 16;

    /** Daemons of another domain that are told its sums, beside those that speak themselves. */
    private static final int LEADERS_TOLD = 2;

    /** Copies the receivers. */
    ExchangePlan {
        receivers = Map.copyOf(receivers);
    }

    /** Returns whether this daemon leads its failure domain. */
    boolean leads() {
        return role == ExchangeRole.LEADER;
    }

    /** Returns the daemon that leads the failure domain of this one. */
    Optional<HostId> leader() {
        return role == ExchangeRole.MEMBER
                ? receivers.keySet().stream().findFirst()
                : Optional.empty();
    }

    /**
     * Makes a plan.
     *
     * @param self this daemon
     * @param others all other daemons known
     * @param silent whether a daemon has said nothing although it should have
     * @param speaks whether a daemon has said something a short time ago
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
