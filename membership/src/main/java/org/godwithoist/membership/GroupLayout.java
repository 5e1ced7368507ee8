package org.godwithoist.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.godwithoist.core.id.HostId;

/**
 * Assignment of members to groups and to the links between groups. It depends only on the set of
 * hosts, so daemons that know the same members compute the same assignment. Immutable.
 */
public final class GroupLayout {
    /** Regular number of links between two groups. */
    public static final int LINKS_PER_GROUP_PAIR = 3;

    /** Maximum number of groups, also in messages. */
    public static final int MAX_GROUPS = 1 << 12;

    private record Link(HostId own, HostId other) {}

    private final HostId self;
    private final GroupId ownGroup;
    private final Map<HostId, Long> hashes = new HashMap<>();
    private final List<List<HostId>> groups;
    private final List<List<Link>> links = new ArrayList<>();

    /**
     * Assigns hosts to groups.
     *
     * @param self this daemon
     * @param hosts all members; may omit this daemon
     * @param maxMeanSize maximum mean number of members in a group
     */
    public GroupLayout(HostId self, Collection<HostId> hosts, int maxMeanSize) {
        this.self = self;
        Set<HostId> all = new TreeSet<>(hosts);
        all.add(self);
        int count = 1;
        while (all.size() > (long) count * maxMeanSize && count < MAX_GROUPS) {
            count <<= 1;
        }
        groups =
                IntStream.range(0, count)
                        .mapToObj(g -> (List<HostId>) new ArrayList<HostId>())
                        .toList();
        for (HostId h : all) {
            long hash = hash(h);
            hashes.put(h, hash);
            groups.get(groupNumber(hash)).add(h);
        }
        ownGroup = groupOf(self);
        for (int g = 0; g < count; g++) {
            links.add(g == ownGroup.number() ? List.of() : linkCandidates(g));
        }
    }

    /**
     * Pairs the members of the own group with those of another group in hash order. The first pairs
     * in which both members respond are the links.
     */
    private List<Link> linkCandidates(int other) {
        List<HostId> ownRanked = ranked(ownGroup.number(), other);
        List<HostId> otherRanked = ranked(other, ownGroup.number());
        if (otherRanked.isEmpty()) {
            return List.of();
        }
        return IntStream.range(0, Math.max(ownRanked.size(), otherRanked.size()))
                .mapToObj(
                        i ->
                                new Link(
                                        ownRanked.get(i % ownRanked.size()),
                                        otherRanked.get(i % otherRanked.size())))
                .toList();
    }

    /** Returns the members of a group in the hash order that both groups use for their links. */
    private List<HostId> ranked(int group, int other) {
        long pair = mixBits(((long) Math.min(group, other) << 32) | Math.max(group, other));
        return groups.get(group).stream()
                .sorted(Comparator.comparingLong(h -> mixBits(hashes.get(h) ^ pair)))
                .toList();
    }

    /** Returns the number of groups, a power of two. */
    public int count() {
        return groups.size();
    }

    /** Returns whether there is more than one group. */
    public boolean hasMultipleGroups() {
        return groups.size() > 1;
    }

    /** Returns the group of this daemon. */
    public GroupId ownGroup() {
        return ownGroup;
    }

    /** Returns the group of a host. */
    public GroupId groupOf(HostId host) {
        Long known = hashes.get(host);
        return new GroupId(groupNumber(known == null ? hash(host) : known));
    }

    /** Returns the members of a group in host order. */
    public List<HostId> members(GroupId group) {
        return List.copyOf(groups.get(group.number()));
    }

    /**
     * Returns the members of another group to which this daemon has a link.
     *
     * @param unresponsive members that get no links; the next pairs in the hash order replace
     *     theirs
     * @param linkCount number of links between the two groups
     */
    public Set<HostId> linkPartners(GroupId other, Predicate<HostId> unresponsive, int linkCount) {
        Set<HostId> partners = new HashSet<>();
        links.get(other.number()).stream()
                .filter(l -> !unresponsive.test(l.own()) && !unresponsive.test(l.other()))
                .limit(linkCount)
                .filter(l -> l.own().equals(self))
                .forEach(l -> partners.add(l.other()));
        return partners;
    }

    private int groupNumber(long hash) {
        return (int) (hash & (groups.size() - 1));
    }

    static long hash(HostId host) {
        return Hash64.of(host.value().getBytes(StandardCharsets.UTF_8));
    }

    /** Distributes the bits of a hash over all bits (the finalizer of SplitMix64). */
    static long mixBits(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
