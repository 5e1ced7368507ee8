package org.godwithoist.membership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.platform.HostEntry;

/**
 * The members of the fleet, taken from the host list, from seeds and from peers, and the contact
 * with each of them. A member that the host list no longer names stays until it has been silent for
 * the removal time, because the list lags. Thread-safe.
 */
public final class FleetMembers implements MemberDirectory {
    private static final class Peer {
        private Member member;
        private boolean listed;
        private boolean announced;
        private Optional<Long> lastContact = Optional.empty();
        private long silentFrom;
        private Optional<Long> leftAt = Optional.empty();
        private final long hash;

        private Peer(Member member, long now) {
            this.member = member;
            this.hash = hash(member.host());
            this.silentFrom = now;
        }
    }

    private final Member self;
    private final MembershipConfig config;
    private final Ticker ticker;
    private final Map<HostId, Peer> peers = new TreeMap<>();
    private long lastTick;
    private long reachableDigest;
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
        this.reachableDigest = hash(self.host());
        seeds.forEach(this::learn);
    }

    // ---- sources of members

    /** Takes a host list; the address of a daemon in it is its endpoint for peers. */
    public synchronized void update(List<HostEntry> hosts) {
        listKnown = true;
        Set<HostId> listed = new HashSet<>();
        for (HostEntry h : hosts) {
            if (h.kind().isTarget() || h.host().equals(self.host())) {
                continue;
            }
            listed.add(h.host());
            Member member = new Member(h.host(), h.failureDomain(), h.address(), 0);
            Peer peer = peers.computeIfAbsent(h.host(), k -> new Peer(member, ticker.nanos()));
            if (!peer.announced || silent(peer)) {
                // An endpoint that the member itself announced is newer than the lagging list.
                peer.announced = false;
                peer.member =
                        new Member(
                                h.host(),
                                h.failureDomain(),
                                h.address(),
                                peer.member.incarnation());
            }
        }
        peers.forEach((host, peer) -> peer.listed = listed.contains(host));
    }

    /** Takes a member from a seed or from the list of a peer. */
    public synchronized void learn(Member member) {
        if (!member.host().equals(self.host())) {
            peers.computeIfAbsent(member.host(), k -> new Peer(member, ticker.nanos()));
        }
    }

    /** Takes the list of a peer, which replaces a host list that could not be read yet. */
    public synchronized void learnAll(Collection<Member> members) {
        members.forEach(this::learn);
        listKnown = true;
    }

    /** Takes what a member said about itself in an authenticated message. */
    public synchronized void announce(Member member) {
        if (member.host().equals(self.host())) {
            return;
        }
        Peer peer = peers.computeIfAbsent(member.host(), k -> new Peer(member, ticker.nanos()));
        if (member.incarnation() >= peer.member.incarnation()) {
            restartIfNewer(peer, member.incarnation());
            peer.member = member;
            peer.announced = true;
        }
    }

    /** Records that the orders were read from the store or from a peer that had them. */
    public synchronized void ordersRead() {
        ordersKnown = true;
    }

    /** Returns whether the orders were ever read. */
    public synchronized boolean ordersKnown() {
        return ordersKnown;
    }

    /** Returns whether a run of a member has announced itself. */
    public synchronized boolean knows(HostId host, long incarnation) {
        Peer peer = peers.get(host);
        return host.equals(self.host())
                || (peer != null && peer.member.incarnation() == incarnation);
    }

    // ---- contact

    /**
     * Records the answer of a member.
     *
     * @param incarnation run of the member that answered
     * @param sentAt when the request was sent; contact is counted from then because the answer
     *     shows no more than that the member was reachable after it
     */
    public synchronized void answered(HostId host, long incarnation, long sentAt) {
        Peer peer = peers.get(host);
        if (peer == null) {
            return;
        }
        if (incarnation > peer.member.incarnation()) {
            restartIfNewer(peer, incarnation);
            Member m = peer.member;
            peer.member = new Member(m.host(), m.failureDomain(), m.peer(), incarnation);
        }
        if (peer.leftAt.isEmpty()) {
            peer.lastContact = Optional.of(sentAt);
            peer.silentFrom = sentAt;
        }
    }

    /** Records that a member said it stops. */
    public synchronized void left(HostId host) {
        Peer peer = peers.get(host);
        if (peer != null) {
            peer.leftAt = Optional.of(ticker.nanos());
        }
    }

    private void restartIfNewer(Peer peer, long incarnation) {
        if (incarnation > peer.member.incarnation()) {
            peer.leftAt = Optional.empty();
            peer.lastContact = Optional.empty();
            peer.silentFrom = ticker.nanos();
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
        if (pausedAt(now)) {
            peers.values().forEach(p -> p.silentFrom = now);
        }
        lastTick = now;
        peers.values()
                .forEach(
                        p -> {
                            if (p.leftAt.filter(t -> older(t, config.removalTime())).isPresent()) {
                                p.leftAt = Optional.empty();
                            }
                        });
        peers.values().removeIf(p -> !p.listed && silent(p));
        // Computed here and not for each message: with 940 members it would cost too much.
        long digest = hash(self.host());
        for (Peer p : peers.values()) {
            digest ^= inContact(p) ? p.hash : 0;
        }
        reachableDigest = digest;
    }

    private boolean pausedAt(long now) {
        return now - lastTick > config.contactTime().toNanos();
    }

    private boolean older(long since, Duration time) {
        return ticker.nanos() - since >= time.toNanos();
    }

    private boolean silent(Peer peer) {
        return peer.leftAt.isPresent()
                || (!pausedAt(ticker.nanos()) && older(peer.silentFrom, config.removalTime()));
    }

    private boolean inContact(Peer peer) {
        return peer.leftAt.isEmpty()
                && peer.lastContact.filter(t -> !older(t, config.contactTime())).isPresent();
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
                    if (peer.leftAt.isEmpty()) {
                        all.put(host, peer.member);
                    }
                });
        return List.copyOf(all.values());
    }

    @Override
    public synchronized Optional<Member> find(HostId host) {
        if (host.equals(self.host())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(peers.get(host)).map(p -> p.member);
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
        if (!listKnown || !ordersKnown || pausedAt(ticker.nanos())) {
            return false;
        }
        return peers.values().stream().allMatch(p -> silent(p) || inContact(p));
    }

    @Override
    public synchronized boolean inContactWith(HostId host) {
        Peer peer = peers.get(host);
        return host.equals(self.host()) || (peer != null && inContact(peer));
    }

    @Override
    public synchronized boolean isSilent(HostId host) {
        if (host.equals(self.host())) {
            return false;
        }
        Peer peer = peers.get(host);
        return peer == null || silent(peer);
    }

    /** Returns the contact with a member. */
    public synchronized ContactState contactState(HostId host) {
        if (inContactWith(host)) {
            return ContactState.CONTACT;
        }
        return isSilent(host) ? ContactState.SILENT : ContactState.LATE;
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
    public synchronized List<Member> reachable() {
        Map<HostId, Member> all = new HashMap<>();
        all.put(self.host(), self);
        peers.forEach(
                (host, peer) -> {
                    if (inContact(peer)) {
                        all.put(host, peer.member);
                    }
                });
        return List.copyOf(new TreeMap<>(all).values());
    }

    /**
     * Returns a number that is equal at two daemons if they were in contact with the same hosts at
     * their last tick.
     */
    public synchronized long reachableDigest() {
        return reachableDigest;
    }

    private static long hash(HostId host) {
        return Hash64.of(host.value().getBytes(StandardCharsets.UTF_8));
    }
}
