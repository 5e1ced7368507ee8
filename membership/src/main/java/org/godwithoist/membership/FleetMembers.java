package org.godwithoist.membership;

import java.time.Duration;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.HostEntry;

/**
 * The members of the fleet, taken from the host list, from seeds and from peers, and the contact
 * with each of them. A member that the host list no longer names stays until it has been silent for
 * the removal time, because the list lags. Thread-safe.
 */
public final class FleetMembers implements MemberDirectory {
    private final Member self;
    private final MembershipConfig config;
    private final Ticker ticker;
    private final Map<HostId, MemberContact> peers = new TreeMap<>();
    private long lastTick;
    private long reachableDigest;
    private final GroupContacts groups;
    private boolean layoutOutdated = true;
    private boolean listKnown;
    private boolean ordersKnown;

    /**
     * Makes a directory that knows only this daemon.
     *
     * @param self this daemon
     * @param seeds members known from the settings, used until the host list has been read
     */
    public FleetMembers(
            Member self, Collection<Member> seeds, MembershipConfig config, Ticker ticker) {
        this.self = self;
        this.config = config;
        this.ticker = ticker;
        this.lastTick = ticker.nanos();
        this.groups = new GroupContacts(self, config);
        this.reachableDigest = GroupLayout.hash(self.host());
        seeds.forEach(this::addMember);
    }

    // ---- sources of members

    /** Takes a host list; the address of a daemon in it is its endpoint for peers. */
    public synchronized void updateHostList(List<HostEntry> hosts) {
        listKnown = true;
        Set<HostId> listed = new HashSet<>();
        for (HostEntry h : hosts) {
            if (h.kind().isTarget() || h.host().equals(self.host())) {
                continue;
            }
            listed.add(h.host());
            Member member = new Member(h.host(), h.failureDomain(), h.address(), 0);
            MemberContact peer = findOrAdd(member);
            if (!peer.announced() || isUnresponsive(peer)) {
                // An endpoint that the member itself announced is newer than the lagging list.
                peer.setAnnounced(false);
                peer.setMember(
                        new Member(
                                h.host(),
                                h.failureDomain(),
                                h.address(),
                                peer.member().incarnation()));
            }
        }
        peers.forEach((host, peer) -> peer.setListed(listed.contains(host)));
    }

    /** Takes a member from a seed or from the list of a peer. */
    public synchronized void addMember(Member member) {
        if (!member.host().equals(self.host())) {
            findOrAdd(member);
        }
    }

    /** Takes the list of a peer, which replaces a host list that could not be read yet. */
    public synchronized void addMembersFromPeer(Collection<Member> members) {
        members.forEach(this::addMember);
        listKnown = true;
        GroupLayout layout = currentLayout();
        for (Member m : members) {
            MemberContact known = peers.get(m.host());
            // Members of the own group announce a new run themselves.
            if (known != null
                    && !layout.groupOf(m.host()).equals(layout.ownGroup())
                    && m.incarnation() > known.member().incarnation()) {
                known.setMember(m);
                known.setAnnounced(true);
            }
        }
    }

    private MemberContact findOrAdd(Member member) {
        return peers.computeIfAbsent(
                member.host(),
                k -> {
                    layoutOutdated = true;
                    return new MemberContact(member, ticker.nanos());
                });
    }

    /** Takes what a member said about itself in an authenticated message. */
    public synchronized void recordAnnouncement(Member member) {
        if (member.host().equals(self.host())) {
            return;
        }
        MemberContact peer = findOrAdd(member);
        if (member.incarnation() >= peer.member().incarnation()) {
            resetIfNewer(peer, member.incarnation());
            peer.setMember(member);
            peer.setAnnounced(true);
        }
    }

    /** Records that the orders were read from the store or from a peer that had them. */
    public synchronized void markOrdersKnown() {
        ordersKnown = true;
    }

    /** Returns whether the orders were ever read. */
    public synchronized boolean ordersKnown() {
        return ordersKnown;
    }

    /** Returns whether a run of a member has announced itself. */
    public synchronized boolean knowsIncarnation(HostId host, long incarnation) {
        MemberContact peer = peers.get(host);
        return host.equals(self.host())
                || (peer != null && peer.member().incarnation() == incarnation);
    }

    // ---- contact

    /**
     * Records the answer of a member.
     *
     * @param incarnation run of the member that answered
     * @param sentAt when the request was sent; contact is counted from then because the answer
     *     shows no more than that the member was reachable after it
     */
    public synchronized void recordResponse(HostId host, long incarnation, long sentAt) {
        MemberContact peer = peers.get(host);
        if (peer == null) {
            return;
        }
        if (incarnation > peer.member().incarnation()) {
            resetIfNewer(peer, incarnation);
            Member m = peer.member();
            peer.setMember(new Member(m.host(), m.failureDomain(), m.peer(), incarnation));
        }
        if (peer.leftAt().isEmpty()) {
            peer.recordContact(sentAt);
        }
    }

    /** Records that a member said it stops. */
    public synchronized void recordDeparture(HostId host) {
        MemberContact peer = peers.get(host);
        if (peer != null) {
            peer.setLeftAt(Optional.of(ticker.nanos()));
        }
    }

    private void resetIfNewer(MemberContact peer, long incarnation) {
        if (incarnation > peer.member().incarnation()) {
            peer.resetContact(ticker.nanos());
        }
    }

    /**
     * Must be called at least once in each contact time; forgets members that are gone.
     *
     * <p>A longer gap means that this process was paused. The members could not have answered
     * during the pause, so their silence is counted again from now on. Without this, a daemon that
     * was paused for the removal time would count every member as silent and believe it was in
     * contact with all that are left.
     */
    public synchronized void tick() {
        long now = ticker.nanos();
        if (wasPaused(now)) {
            peers.values().forEach(p -> p.setSilentSince(now));
        }
        lastTick = now;
        peers.values()
                .forEach(
                        p -> {
                            if (p.leftAt()
                                    .filter(t -> hasElapsed(t, config.removalTime()))
                                    .isPresent()) {
                                p.setLeftAt(Optional.empty());
                            }
                        });
        layoutOutdated |= peers.values().removeIf(p -> !p.listed() && isUnresponsive(p));
        if (currentLayout().hasMultipleGroups()) {
            groups.updateDigests(this::inContact);
            reachableDigest = groups.digests().hashCode();
            return;
        }
        // Computed here and not for each message: with 940 members it would cost too much.
        long digest = GroupLayout.hash(self.host());
        for (MemberContact p : peers.values()) {
            digest ^= inContact(p) ? p.hash() : 0;
        }
        reachableDigest = digest;
    }

    private Duration contactTime() {
        return currentLayout().hasMultipleGroups()
                ? config.groupContactTime()
                : config.contactTime();
    }

    private boolean wasPaused(long now) {
        return now - lastTick > config.contactTime().toNanos();
    }

    private boolean hasElapsed(long since, Duration time) {
        return ticker.nanos() - since >= time.toNanos();
    }

    private boolean isUnresponsive(MemberContact peer) {
        return peer.leftAt().isPresent()
                || (!wasPaused(ticker.nanos())
                        && hasElapsed(peer.silentSince(), config.removalTime()));
    }

    private boolean inContact(MemberContact peer) {
        return peer.leftAt().isEmpty()
                && peer.lastContact().filter(t -> !hasElapsed(t, contactTime())).isPresent();
    }

    // ---- answers

    @Override
    public Member self() {
        return self;
    }

    @Override
    public synchronized List<Member> members() {
        Map<HostId, Member> all = new TreeMap<>();
        all.put(self.host(), self);
        peers.forEach(
                (host, peer) -> {
                    if (peer.leftAt().isEmpty()) {
                        all.put(host, peer.member());
                    }
                });
        return List.copyOf(all.values());
    }

    @Override
    public synchronized Optional<Member> find(HostId host) {
        if (host.equals(self.host())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(peers.get(host)).map(p -> p.member());
    }

    /**
     * {@inheritDoc}
     *
     * <p>A daemon that has neither read a host list nor taken the list of a peer does not know who
     * the members are, and one that has not read the orders does not know what is out of service;
     * both count as out of contact.
     */
    @Override
    public synchronized boolean inContactWithAll() {
        if (!listKnown || !ordersKnown || wasPaused(ticker.nanos())) {
            return false;
        }
        return peers.values().stream().allMatch(p -> isUnresponsive(p) || inContact(p));
    }

    @Override
    public synchronized boolean inContactWith(HostId host) {
        MemberContact peer = peers.get(host);
        return host.equals(self.host()) || (peer != null && inContact(peer));
    }

    @Override
    public synchronized boolean isUnresponsive(HostId host) {
        if (host.equals(self.host())) {
            return false;
        }
        MemberContact peer = peers.get(host);
        return peer == null || isUnresponsive(peer);
    }

    /** Returns the contact with a member. */
    public synchronized ContactState contactState(HostId host) {
        if (inContactWith(host)) {
            return ContactState.CONTACT;
        }
        return isUnresponsive(host) ? ContactState.SILENT : ContactState.LATE;
    }

    /** Returns whether a list of members has been read from the platform or a peer. */
    public synchronized boolean listKnown() {
        return listKnown;
    }

    /**
     * Returns the members that this daemon vouches for to others: itself and those that it is in
     * contact with. Passing on members known only by hearsay would keep dead ones alive, because
     * daemons would learn them from each other again and again.
     */
    public synchronized List<Member> reachableMembers() {
        Map<HostId, Member> all = new HashMap<>();
        all.put(self.host(), self);
        peers.forEach(
                (host, peer) -> {
                    if (inContact(peer)) {
                        all.put(host, peer.member());
                    }
                });
        return List.copyOf(new TreeMap<>(all).values());
    }

    /**
     * Returns the members to pass on, as {@link #reachable()}, without the groups whose digest the
     * receiver has.
     *
     * @param digests digest of each group, or empty for all members
     */
    public synchronized List<Member> reachableMembers(List<Integer> digests) {
        GroupLayout layout = currentLayout();
        List<Integer> own = groups.digests();
        if (digests.size() != own.size()) {
            return reachableMembers();
        }
        return reachableMembers().stream()
                .filter(
                        m -> {
                            int group = layout.groupOf(m.host()).number();
                            return !own.get(group).equals(digests.get(group));
                        })
                .toList();
    }

    /**
     * Returns a number that is equal at two daemons if they were in contact with the same hosts at
     * their last tick; with several groups, with the same runs of them.
     */
    public synchronized long reachableDigest() {
        return reachableDigest;
    }

    // ---- groups

    private GroupLayout currentLayout() {
        if (layoutOutdated) {
            groups.assign(peers.values(), ticker.nanos());
            layoutOutdated = false;
        }
        return groups.layout();
    }

    /** Returns the assignment of the members known now. */
    public synchronized GroupLayout layout() {
        return currentLayout();
    }

    /** Returns the members with which this daemon runs rounds. */
    public synchronized Set<HostId> exchangePartners() {
        GroupLayout layout = currentLayout();
        Set<HostId> partners = new HashSet<>();
        for (MemberContact c : peers.values()) {
            HostId host = c.member().host();
            if (c.leftAt().isEmpty() && layout.groupOf(host).equals(layout.ownGroup())) {
                partners.add(host);
            }
        }
        partners.addAll(groups.linkPartners(this::isUnresponsive, ticker.nanos()));
        return partners;
    }

    /**
     * Returns whether every member of the own group that is not silent has answered. Until then a
     * new member may not be known to its group, and an order given at it may stay there.
     */
    public synchronized boolean isKnownToGroup() {
        GroupLayout layout = currentLayout();
        return !layout.hasMultipleGroups()
                || peers.values().stream()
                        .filter(c -> layout.groupOf(c.member().host()).equals(layout.ownGroup()))
                        .allMatch(c -> isUnresponsive(c) || c.lastContact().isPresent());
    }

    /** Returns the groups whose summaries this daemon should ask for. */
    public synchronized BitSet wantedGroups() {
        return currentLayout().hasMultipleGroups()
                ? groups.groupsToRequest(this::isUnresponsive, ticker.nanos())
                : new BitSet();
    }

    /** Returns the digest of the members in contact for each group; empty with one group. */
    public synchronized List<Integer> groupDigests() {
        return currentLayout().hasMultipleGroups() ? groups.digests() : List.of();
    }

    /**
     * Summarises groups for a peer.
     *
     * @param count number of groups that the peer computes
     * @param confirmed whether all members of a group hold the orders of this daemon
     */
    public synchronized List<GroupSummary> summaries(
            int count, BitSet wanted, Predicate<GroupId> confirmed) {
        return currentLayout().hasMultipleGroups() && currentLayout().count() == count
                ? groups.summaries(wanted, confirmed, ticker.nanos())
                : List.of();
    }

    /**
     * Takes the summaries of an answer. The orders of the answer must be in force before, because a
     * contact counts only once the orders of the member are in force here.
     *
     * @param count number of groups that the sender computes
     * @param sentAt when the request was sent
     */
    public synchronized void applySummaries(int count, List<GroupSummary> summaries, long sentAt) {
        if (currentLayout().count() == count) {
            groups.apply(count, summaries, sentAt);
        }
    }
}
