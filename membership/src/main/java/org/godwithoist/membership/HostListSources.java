package org.godwithoist.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * Determines which daemons read the host list from the platform and from whom the others pull it.
 * Daemons that know the same members come to the same result; a difference only costs a few more
 * reads or one more hop.
 */
public final class HostListSources {
    /** With two readers, the loss of one costs the other daemons only one failed pull. */
    static final int READERS_PER_DOMAIN = 2;

    private final MemberDirectory members;

    /** Hashes of the hosts, cached because sorting compares each member several times. */
    private final Map<HostId, Long> hashes = new ConcurrentHashMap<>();

    /** Creates the selection over the members of a fleet. */
    public HostListSources(MemberDirectory members) {
        this.members = members;
    }

    /** Returns whether this daemon reads the list from the platform. */
    public boolean isReader() {
        Member self = members.self();
        List<Member> all = members.members();
        if (hashes.size() > 2 * all.size()) {
            // Most of the cached hashes belong to hosts that were replaced.
            hashes.clear();
        }
        return readers(self.failureDomain(), all).contains(self.host());
    }

    /**
     * Returns the daemons to pull from, in order of preference: the readers of the own failure
     * domain, then those of other failure domains. A daemon without a list also gets all other
     * members, because a daemon that knows only its seeds cannot determine the readers. Members out
     * of contact come last; unresponsive ones are omitted.
     *
     * @param listKnown whether this daemon has a list
     */
    public List<HostId> sources(boolean listKnown) {
        Member self = members.self();
        List<Member> all = members.members();
        Stream<HostId> own = readers(self.failureDomain(), all).stream().sorted(orderForSelf());
        Stream<HostId> others =
                all.stream()
                        .map(Member::failureDomain)
                        .distinct()
                        .filter(d -> !d.equals(self.failureDomain()))
                        .flatMap(d -> readers(d, all).stream())
                        .sorted(orderForSelf());
        Stream<HostId> rest = listKnown ? Stream.empty() : all.stream().map(Member::host);
        List<HostId> sources =
                new ArrayList<>(
                        Stream.of(own, others, rest)
                                .flatMap(s -> s)
                                .distinct()
                                .filter(h -> !h.equals(self.host()))
                                .filter(h -> !members.isUnresponsive(h))
                                .toList());
        sources.sort(Comparator.comparing(h -> !members.inContactWith(h)));
        return sources;
    }

    /** Each daemon has its own order of the readers, which spreads the pulls over them. */
    private Comparator<HostId> orderForSelf() {
        long self = hash(members.self().host());
        return Comparator.comparingLong(h -> self ^ hash(h));
    }

    private List<HostId> readers(FailureDomainId domain, List<Member> all) {
        return all.stream()
                .filter(m -> m.failureDomain().equals(domain))
                .map(Member::host)
                .filter(h -> !members.isUnresponsive(h))
                .sorted(
                        Comparator.comparingLong(this::hash)
                                .thenComparing(Comparator.naturalOrder()))
                .limit(READERS_PER_DOMAIN)
                .toList();
    }

    private long hash(HostId host) {
        return hashes.computeIfAbsent(
                host, h -> Hash64.of(h.value().getBytes(StandardCharsets.UTF_8)));
    }
}
