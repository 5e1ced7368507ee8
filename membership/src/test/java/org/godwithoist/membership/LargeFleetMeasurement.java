package org.godwithoist.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.store.fake.FakeHostList;
import org.godwithoist.store.fake.FakeTableStore;

/**
 * Measures the control traffic of one daemon in a large fleet. Only its exchange partners exist.
 * They run rounds with this daemon only, and their contact with all other members is simulated.
 * Each partner requests summaries from this daemon only, so the measured bytes sent are too high.
 * Arguments: COUNT/HOST with the number of members and the number of the measured host.
 */
public final class LargeFleetMeasurement {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(12);
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(10);
    private static final Duration CONTACT_INTERVAL = Duration.ofMillis(300);

    /**
     * Age of the contacts of a member with another group: the interval of 1 s and half a round on a
     * link.
     */
    private static final Duration OTHER_GROUP_AGE = Duration.ofMillis(1_250);

    private LargeFleetMeasurement() {}

    /** Prints one line of figures for each number of members. */
    public static void main(String[] args) {
        for (String count : args) {
            String[] parts = count.split("/", 2);
            measure(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
        }
        System.exit(0);
    }

    private static void measure(int count, int host) {
        Member self = TestDaemon.member(host, 1);
        List<Member> all =
                IntStream.range(0, count)
                        .mapToObj(
                                n ->
                                        n == host
                                                ? self
                                                : new Member(
                                                        new HostId("h" + n),
                                                        new FailureDomainId("d" + n % 7),
                                                        new Endpoint("127.0.0.1", 1),
                                                        1))
                        .toList();
        Map<HostId, Member> members = all.stream().collect(Collectors.toMap(Member::host, m -> m));
        FleetMembers plannedMembers =
                new FleetMembers(self, all, MembershipConfig.DEFAULT, System::nanoTime);
        int port = 0;
        for (HostId h : plannedMembers.exchangePartners()) {
            Member m = TestDaemon.member(port++, 1);
            members.put(h, new Member(h, members.get(h).failureDomain(), m.peer(), 1));
        }
        FakeHostList hosts = new FakeHostList();
        hosts.set(members.values().stream().map(TestDaemon::hostListEntry).toList());
        FakeTableStore store = new FakeTableStore();
        MembershipConfig config =
                MembershipConfig.DEFAULT.withHostListInterval(Duration.ofMinutes(5));
        List<TestDaemon> partners = new ArrayList<>();
        for (HostId h : plannedMembers.exchangePartners()) {
            TestDaemon d = new TestDaemon(members.get(h), List.of(), config, hosts, store);
            d.membership().members().addMembersFromPeer(members.values());
            d.membership().members().markOrdersKnown();
            partners.add(d);
        }
        TestDaemon measured = new TestDaemon(self, List.of(), config, hosts, store);
        measured.membership().members().addMembersFromPeer(members.values());
        partners.forEach(d -> Tasks.start("partner", () -> run(d, self, members)));
        measured.start();
        Tasks.sleep(SETTLE_TIME);
        var traffic = measured.transport().traffic();
        long sent = traffic.bytesSent();
        long received = traffic.bytesReceived();
        double cpu = cpuSeconds();
        Tasks.sleep(MEASUREMENT_TIME);
        double seconds = MEASUREMENT_TIME.toSeconds();
        System.out.printf(
                "one of %d members, groups %d, peers %d (own group %d): sent %.0f B/s, received"
                        + " %.0f B/s; whole process %.4f cores; in contact with all: %s%n",
                count,
                plannedMembers.layout().count(),
                partners.size(),
                plannedMembers.layout().members(plannedMembers.layout().ownGroup()).size() - 1,
                (traffic.bytesSent() - sent) / seconds,
                (traffic.bytesReceived() - received) / seconds,
                (cpuSeconds() - cpu) / seconds,
                measured.membership().members().inContactWithAll());
        measured.close();
        partners.forEach(TestDaemon::close);
    }

    /** Runs the rounds of a partner with the measured daemon. */
    private static void run(TestDaemon partner, Member measured, Map<HostId, Member> members) {
        FleetMembers own = partner.membership().members();
        Tasks.start("simulate-contacts", () -> simulateContacts(own, members, measured.host()));
        boolean group = own.layout().ownGroup().equals(own.layout().groupOf(measured.host()));
        MembershipConfig c = MembershipConfig.DEFAULT;
        Duration period = group ? c.groupRoundInterval() : c.roundInterval();
        long first = ThreadLocalRandom.current().nextLong(period.toNanos());
        for (boolean go = Tasks.sleep(Duration.ofNanos(first)); go; go = Tasks.sleep(period)) {
            try {
                partner.membership().rounds().runRound(measured.host(), partner.exchange());
            } catch (RuntimeException e) {
                System.out.println("round of a partner failed: " + e.getMessage());
            }
        }
    }

    /** Simulates the contact of a partner with all members except the measured daemon. */
    private static void simulateContacts(
            FleetMembers own, Map<HostId, Member> members, HostId measured) {
        do {
            long now = System.nanoTime();
            for (HostId h : members.keySet()) {
                boolean group = own.layout().groupOf(h).equals(own.layout().ownGroup());
                long age = group ? CONTACT_INTERVAL.toNanos() : OTHER_GROUP_AGE.toNanos();
                if (!h.equals(measured)) {
                    own.recordResponse(h, 1, now - age);
                }
            }
            own.tick();
        } while (Tasks.sleep(CONTACT_INTERVAL));
    }

    private static double cpuSeconds() {
        return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
    }
}
