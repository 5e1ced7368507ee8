package org.godwithoist.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.godwithoist.core.id.HostId;

/**
 * Contact with members by group. Members of the own group are in contact by their responses,
 * members of other groups also by the summaries of daemons that had contact with them. Guarded by
 * the lock of {@link FleetMembers}.
 */
final class GroupContacts {
    /**
     * Members of the own group with an older contact are listed as absent. The round interval
     * within a group is 1 s, and a summary must reach all daemons before the contact time of 2.5 s
     * has passed; it takes up to 0.5 s on a link and a short time within the group.
     */
    private static final Duration OWN_GROUP_MAX_AGE = Duration.ofMillis(1_600);

    /**
     * Members of other groups whose contact is older than the newest summary by more than this are
     * listed as absent.
     */
    private static final Duration OTHER_GROUP_MAX_LAG = Duration.ofMillis(500);

    /** A summary is requested once the contact with a member of the group is older than this. */
    private static final Duration REFRESH_AGE = Duration.ofMillis(1_300);

    /**
     * Minimum interval between two requests for the summary of a group. The members of a group
     * receive new summaries at about the same time; without a minimum interval, each of about 30
     * responses per second would contain all groups.
     */
    private static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(250);

    /** With an older contact, every request asks for the summary, without a minimum interval. */
    private static final Duration URGENT_AGE = Duration.ofMillis(1_900);

    /**
     * Maximum age of a summary that is forwarded; older ones would expire before the receiver could
     * use them.
     */
    private static final Duration MAX_FORWARDED_AGE = Duration.ofMillis(2_200);

    /**
     * Time for which additional links stay. If they ended as soon as the summary is fresh, it would
     * age again, because the links that they replace are still cut.
     */
    private static final Duration EXTRA_LINKS_RETENTION = Duration.ofSeconds(60);

    private static final class Group {
        private final List<MemberContact> contacts = new ArrayList<>();
        private int linkCount = GroupLayout.LINKS_PER_GROUP_PAIR;
        private long linksAddedAt;
        private long requestedAt;
        private int digest;

        /** Ticker time at which all members covered by the newest summary were in contact. */
        private Optional<Long> summarisedAt = Optional.empty();
    }

    private final Member self;
    private final long selfHash;
    private final MembershipConfig config;
    private GroupLayout layout;
    private List<Group> groups = List.of();
    private long assignedAt;

    GroupContacts(Member self, MembershipConfig config) {
        this.self = self;
        this.selfHash = GroupLayout.hash(self.host());
        this.config = config;
    }

    /** Assigns members to groups. */
    void assign(Collection<MemberContact> contacts, long now) {
        layout =
                new GroupLayout(
                        self.host(),
                        contacts.stream().map(c -> c.member().host()).toList(),
                        config.maxMeanGroupSize());
        List<Group> old = groups;
        groups = IntStream.range(0, layout.count()).mapToObj(g -> new Group()).toList();
        contacts.forEach(
                c -> groups.get(layout.groupOf(c.member().host()).number()).contacts.add(c));
        if (old.size() != groups.size()) {
            assignedAt = now;
            return;
        }
        for (int g = 0; g < groups.size(); g++) {
            groups.get(g).linkCount = old.get(g).linkCount;
            groups.get(g).linksAddedAt = old.get(g).linksAddedAt;
            groups.get(g).digest = old.get(g).digest;
            groups.get(g).summarisedAt = old.get(g).summarisedAt;
        }
    }

    GroupLayout layout() {
        return layout;
    }

    private boolean isOwnGroup(int group) {
        return group == layout.ownGroup().number();
    }

    // ---- peers

    /**
     * Returns the members of other groups to which this daemon has a link. While no summary of a
     * group arrives, the number of links to it increases, so that further members get one.
     */
    Set<HostId> linkPartners(Predicate<HostId> unresponsive, long now) {
        Set<HostId> partners = new HashSet<>();
        for (int g = 0; g < groups.size(); g++) {
            if (!isOwnGroup(g) && !groups.get(g).contacts.isEmpty()) {
                Group group = groups.get(g);
                adjustLinkCount(group, now);
                partners.addAll(layout.linkPartners(new GroupId(g), unresponsive, group.linkCount));
            }
        }
        return partners;
    }

    private void adjustLinkCount(Group group, long now) {
        long limit = config.contactTime().toNanos();
        long lastContact = newestContact(group).orElse(assignedAt);
        long since = Math.max(0, now - Math.max(lastContact, assignedAt));
        boolean hasExtraLinks = group.linkCount > GroupLayout.LINKS_PER_GROUP_PAIR;
        if (since >= limit && (!hasExtraLinks || now - group.linksAddedAt >= limit)) {
            group.linkCount += GroupLayout.LINKS_PER_GROUP_PAIR;
            group.linksAddedAt = now;
        } else if (hasExtraLinks && now - group.linksAddedAt >= EXTRA_LINKS_RETENTION.toNanos()) {
            group.linkCount = GroupLayout.LINKS_PER_GROUP_PAIR;
        }
    }

    private static Optional<Long> newestContact(Group group) {
        return group.contacts.stream()
                .filter(c -> c.leftAt().isEmpty())
                .flatMap(c -> c.lastContact().stream())
                .max(Long::compare);
    }

    // ---- summaries

    /** Returns the groups to request from a peer now, and records the requests. */
    BitSet groupsToRequest(Predicate<MemberContact> unresponsive, long now) {
        BitSet wanted = new BitSet();
        for (int g = 0; g < groups.size(); g++) {
            Group group = groups.get(g);
            boolean due = now - group.requestedAt >= MIN_REQUEST_INTERVAL.toNanos();
            Duration limit = due ? REFRESH_AGE : URGENT_AGE;
            if (!isOwnGroup(g) && hasOlderContact(group, unresponsive, now - limit.toNanos())) {
                wanted.set(g);
                group.requestedAt = now;
            }
        }
        return wanted;
    }

    private static boolean hasOlderContact(
            Group group, Predicate<MemberContact> unresponsive, long since) {
        return group.contacts.stream()
                .anyMatch(c -> !unresponsive.test(c) && !c.hadContactSince(since));
    }

    /** Returns summaries of the requested groups whose contacts are recent enough. */
    List<GroupSummary> summaries(BitSet wanted, Predicate<GroupId> confirmed, long now) {
        List<GroupSummary> summaries = new ArrayList<>();
        wanted.stream()
                .filter(g -> g < groups.size())
                .forEach(
                        g ->
                                summary(g, confirmed, now)
                                        .filter(s -> s.age().compareTo(MAX_FORWARDED_AGE) <= 0)
                                        .ifPresent(summaries::add));
        return summaries;
    }

    private Optional<GroupSummary> summary(int number, Predicate<GroupId> confirmed, long now) {
        Group group = groups.get(number);
        List<GroupSummary.Contact> contacts = new ArrayList<>();
        group.contacts.forEach(
                c ->
                        contacts.add(
                                new GroupSummary.Contact(
                                        c.shortHash(), c.lastContact(), c.leftAt())));
        long since = now - OWN_GROUP_MAX_AGE.toNanos();
        if (isOwnGroup(number)) {
            contacts.add(
                    new GroupSummary.Contact(
                            MemberContact.shortHash(selfHash), Optional.of(now), Optional.empty()));
        } else {
            since = coveredSince(group, now) - OTHER_GROUP_MAX_LAG.toNanos();
        }
        GroupId id = new GroupId(number);
        return GroupSummary.of(id, contacts, now, since, confirmed.test(id));
    }

    /**
     * Returns the ticker time of the newest summary of another group. The response of a partner on
     * a link does not count, because it is newer than what the partner's summary states about the
     * others, by up to the maximum age in their own group.
     */
    private static long coveredSince(Group group, long now) {
        long newest = newestContact(group).orElse(now) - OWN_GROUP_MAX_AGE.toNanos();
        return group.summarisedAt.map(t -> Math.max(t, newest)).orElse(newest);
    }

    /**
     * Applies the summaries of a response.
     *
     * @param count number of groups at the sender; with another number of groups, the same group
     *     number identifies other members
     * @param sentAt ticker time at which the request was sent; the ages count from then, so that a
     *     delayed response is not treated as recent
     */
    void apply(int count, List<GroupSummary> summaries, long sentAt) {
        if (count != groups.size()) {
            return;
        }
        for (GroupSummary s : summaries) {
            if (s.group().number() < count && !isOwnGroup(s.group().number())) {
                apply(groups.get(s.group().number()), s, sentAt);
            }
        }
    }

    private void apply(Group group, GroupSummary s, long sentAt) {
        List<MemberContact> contacts = group.contacts;
        for (GroupSummary.Absent a : s.absent()) {
            a.timeSinceLeft()
                    .ifPresent(
                            ago ->
                                    contacts.stream()
                                            .filter(c -> c.shortHash() == a.hash())
                                            .forEach(
                                                    c ->
                                                            recordDeparture(
                                                                    c, sentAt - ago.toNanos())));
        }
        long contactTime = sentAt - s.age().toNanos();
        List<MemberContact> covered = contacts;
        if (!s.covers(hashes(covered))) {
            // The sender may not know a member yet that this daemon has never had contact with, or
            // may have removed one that is unresponsive.
            long recent = contactTime - config.groupContactTime().multipliedBy(2).toNanos();
            covered = contacts.stream().filter(c -> c.hadContactSince(recent)).toList();
            if (!s.covers(hashes(covered))) {
                return;
            }
        }
        group.summarisedAt =
                Optional.of(
                        group.summarisedAt.map(t -> Math.max(t, contactTime)).orElse(contactTime));
        for (MemberContact c : covered) {
            if (!s.isAbsent(c.shortHash())) {
                if (c.leftAt().filter(t -> contactTime - t > clockMarginNanos()).isPresent()) {
                    c.setLeftAt(Optional.empty());
                }
                if (c.leftAt().isEmpty()) {
                    c.recordContact(contactTime);
                }
            }
        }
    }

    private static List<Integer> hashes(List<MemberContact> contacts) {
        return contacts.stream().map(MemberContact::shortHash).toList();
    }

    /**
     * Records a departure, unless there was contact after it by more than the margin, which shows a
     * new incarnation.
     */
    private void recordDeparture(MemberContact contact, long time) {
        if (contact.leftAt().isEmpty()
                && contact.lastContact().filter(t -> t - time > clockMarginNanos()).isEmpty()) {
            contact.setLeftAt(Optional.of(time));
        }
    }

    /**
     * Returns the tolerance for comparing the times of a contact and a departure, each of which is
     * too early by up to one round trip.
     */
    private long clockMarginNanos() {
        return config.callTimeout().toNanos();
    }

    // ---- digests of the members in contact

    /** Recomputes the digests. */
    void updateDigests(Predicate<MemberContact> inContact) {
        for (int g = 0; g < groups.size(); g++) {
            int digest = 0;
            for (MemberContact c : groups.get(g).contacts) {
                digest ^= inContact.test(c) ? digest(c.hash(), c.member()) : 0;
            }
            groups.get(g).digest = digest ^ (isOwnGroup(g) ? digest(selfHash, self) : 0);
        }
    }

    /**
     * Includes the incarnation, because the digest is the only way in which members of other groups
     * detect a new one.
     */
    private static int digest(long hash, Member member) {
        return (int) GroupLayout.mixBits(hash ^ GroupLayout.mixBits(member.incarnation()));
    }

    /** Returns the digest of each group, by group number. */
    List<Integer> digests() {
        return groups.stream().map(g -> g.digest).toList();
    }
}
