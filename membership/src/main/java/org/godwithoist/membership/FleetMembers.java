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
 * Members of the fleet and the contact with each of them. Members come from the host list, from
 * seeds and from peers. A member that the host list no longer contains is removed only after it has
 * been unresponsive for the removal time, because the list lags. Thread-safe.
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
     * Creates a directory that contains this daemon and the seeds.
     *
     * @param self this daemon
     * @param seeds members from the settings, used until the host list has been read; may be empty
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

    /** Applies a host list. The address of a daemon in it is its endpoint for peers. */
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
                // An endpoint that the member announced itself is newer than the host list, which
                // lags.
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

    /**
     * Adds a member that a seed or the list of a peer names. Has no effect if it is already known.
     */
    public synchronized void addMember(Member member) {
        if (!member.host().equals(self.host())) {
            findOrAdd(member);
        }
    }

    /**
     * Adds the members that a peer listed. The members count as known from then on, even if no host
     * list could be read yet.
     */
    public synchronized void addMembersFromPeer(Collection<Member> members) {
        members.forEach(this::addMember);
        listKnown = true;
        GroupLayout layout = currentLayout();
        for (Member m : members) {
            MemberContact known = peers.get(m.host());
            // Members of the own group announce a new incarnation themselves.
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

    /**
     * Records what a member states about itself in an authenticated message. A message of an
     * earlier incarnation has no effect.
     */
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

    /** Records that the orders were read from the store or from a peer that had read them. */
    public synchronized void markOrdersKnown() {
        ordersKnown = true;
    }

    /** Returns whether the orders were read at least once. */
    public synchronized boolean ordersKnown() {
        return ordersKnown;
    }

    /**
     * Returns whether a member has announced the given incarnation; always true for this daemon.
     */
    public synchronized boolean knowsIncarnation(HostId host, long incarnation) {
        MemberContact peer = peers.get(host);
        return host.equals(self.host())
                || (peer != null && peer.member().incarnation() == incarnation);
    }

    // ---- contact

    /**
     * Records a response of a member. Has no effect if the member is unknown.
     *
     * @param incarnation incarnation of the member that responded
     * @param sentAt ticker time in nanoseconds at which the request was sent; contact counts from
     *     then, because a response only proves that the member was reachable after that time
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

    /** Records that a member announced that it stops. */
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
     * Removes unlisted members that are unresponsive and detects pauses of this process. Must be
     * called at least once in each contact time.
     *
     * <p>A longer gap means that this process was paused. The members had no chance to respond
     * during the pause, so the time without a response is counted again from now on. Otherwise a
     * daemon that was paused for the removal time would treat every member as unresponsive and
     * report that it is in contact with all that remain.
     */
    public synchronized void tick() {
        long now = ticker.nanos();
        if (wasPaused(now)) {
            peers.values().forEach(p -> p.setNoResponseSince(now));
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
        // Computed once per tick: with 940 members it is too expensive to do for each message.
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
                        && hasElapsed(peer.noResponseSince(), config.removalTime()));
    }

    private boolean inContact(MemberContact peer) {
        return peer.leftAt().isEmpty()
                && peer.lastContact().filter(t -> !hasElapsed(t, contactTime())).isPresent();
    }

    // ---- queries

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
     * <p>Returns false until a host list or the list of a peer has been received, because the
     * members are unknown, and until the orders have been read, because it is unknown what is out
     * of service.
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

    /** Returns the contact with a member; {@link ContactState#SILENT} if it is unknown. */
    public synchronized ContactState contactState(HostId host) {
        if (inContactWith(host)) {
            return ContactState.CONTACT;
        }
        return isUnresponsive(host) ? ContactState.SILENT : ContactState.LATE;
    }

    /** Returns whether a list of members has been received from the platform or from a peer. */
    public synchronized boolean listKnown() {
        return listKnown;
    }

    /**
     * Returns this daemon and the members that it is in contact with, in host order. Only these are
     * passed on to peers. If members without contact were passed on, daemons would keep adding a
     * dead member from each other's lists.
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
     * Returns the members to pass on, as {@link #reachableMembers()}, without the groups whose
     * digest the receiver already has.
     *
     * @param digests digest of each group at the receiver; all members are returned if empty or if
     *     the number of groups differs
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
     * Returns a digest that is equal at two daemons if they were in contact with the same hosts at
     * their last tick; with several groups, with the same incarnations of the hosts.
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

    /** Returns the assignment of the current members to groups. */
    public synchronized GroupLayout layout() {
        return currentLayout();
    }

    /**
     * Returns the members with which this daemon exchanges messages: those of the own group and the
     * partners on links to other groups.
     */
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
     * Returns whether every member of the own group that is not unresponsive has responded. Until
     * then the group may not know a newly joined daemon, and an order issued at it might not leave
     * it.
     */
    public synchronized boolean isKnownToGroup() {
        GroupLayout layout = currentLayout();
        return !layout.hasMultipleGroups()
                || peers.values().stream()
                        .filter(c -> layout.groupOf(c.member().host()).equals(layout.ownGroup()))
                        .allMatch(c -> isUnresponsive(c) || c.lastContact().isPresent());
    }

    /** Returns the groups whose summaries should be requested now; empty with one group. */
    public synchronized BitSet wantedGroups() {
        return currentLayout().hasMultipleGroups()
                ? groups.groupsToRequest(this::isUnresponsive, ticker.nanos())
                : new BitSet();
    }

    /** Returns the digest of the members in contact, by group number; empty with one group. */
    public synchronized List<Integer> groupDigests() {
        return currentLayout().hasMultipleGroups() ? groups.digests() : List.of();
    }

    /**
     * Returns summaries of groups for a peer; empty with one group or if the numbers of groups
     * differ.
     *
     * @param count number of groups at the peer
     * @param wanted groups that the peer requests
     * @param confirmed whether all members of a group hold the orders of this daemon
     */
    public synchronized List<GroupSummary> summaries(
            int count, BitSet wanted, Predicate<GroupId> confirmed) {
        return currentLayout().hasMultipleGroups() && currentLayout().count() == count
                ? groups.summaries(wanted, confirmed, ticker.nanos())
                : List.of();
    }

    /**
     * Applies the summaries of a response. The orders of the response must be merged first, because
     * a contact counts only once the orders of the member are in force here.
     *
     * @param count number of groups at the sender; summaries are ignored if it differs
     * @param sentAt ticker time in nanoseconds at which the request was sent
     */
    public synchronized void applySummaries(int count, List<GroupSummary> summaries, long sentAt) {
        if (currentLayout().count() == count) {
            groups.apply(count, summaries, sentAt);
        }
    }
}
