package org.godwithoist.bundle.wire;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.Revision;
import org.godwithoist.bundle.json.BundleSplit;
import org.godwithoist.bundle.store.RevisionStore;
import org.godwithoist.store.fake.FakeObjectStore;

/** Measures parsing, adoption and distribution; run {@code main} with the test class path. */
final class BundleMeasurement {
    private static final int WORKSPACES = 2_300;
    private static final int ROUNDS = 200;

    private BundleMeasurement() {}

    public static void main(String[] args) {
        parse();
        adopt();
        int members = args.length > 0 ? Integer.parseInt(args[0]) : 6;
        distribute(members);
    }

    private static void parse() {
        String text = Fixture.text(WORKSPACES, 1);
        long[] parse = new long[ROUNDS];
        long[] split = new long[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            long start = System.nanoTime();
            Bundle bundle = BundleParser.parse("b", text);
            parse[i] = System.nanoTime() - start;
            BundleSplit.split(bundle);
            split[i] = System.nanoTime() - start - parse[i];
        }
        print("parse 2,300 workspaces, ms", parse);
        print("split into parts, ms", split);
    }

    private static void adopt() {
        Fixture fixture = new Fixture();
        HeadState state = new HeadState(fixture.keys());
        RevisionStore revisions = new RevisionStore(new FakeObjectStore(), state);
        long[] times = new long[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            Revision source =
                    BundleSplit.split(BundleParser.parse("b", Fixture.text(WORKSPACES, i + 1)));
            Head head = fixture.head(i + 1, source.hash(), Fixture.ANNA, Fixture.BEN);
            long start = System.nanoTime();
            Revision loaded = revisions.load(source.hash(), List.of(wanted -> source.objects()));
            state.adopt(head, loaded);
            times[i] = System.nanoTime() - start;
        }
        print("adopt one change (verify, parse, index), ms", times);
        System.gc();
        Runtime r = Runtime.getRuntime();
        System.out.println(
                "heap in use at revision "
                        + state.revisionNumber()
                        + ", "
                        + revisions.fetchedBytes()
                        + " bytes fetched: "
                        + (r.totalMemory() - r.freeMemory())
                        + " bytes");
    }

    private static void distribute(int members) {
        int rounds = 50;
        try (FakeFleet fleet = new FakeFleet(members, Duration.ofNanos(1_500_000), 1)) {
            var workflow = fleet.get(0).workflow();
            long[] times = new long[rounds];
            long peerBytes = 0;
            long messageBytes = 0;
            for (int i = 0; i < rounds; i++) {
                ProposalId id = workflow.signed(i + 1, Fixture.text(WORKSPACES, i + 1));
                long fetched = fleet.get(1).workflow().revisions.fetchedBytes();
                long sent = fleet.network.bytes.sum();
                times[i] = workflow.operations.roll(Fixture.BEN, id).totalTime().toNanos();
                peerBytes = fleet.get(1).workflow().revisions.fetchedBytes() - fetched;
                messageBytes = fleet.network.bytes.sum() - sent;
            }
            print("roll to in force at " + members + " members, ms", times);
            System.out.println("one change: parts fetched by a peer, bytes: " + peerBytes);
            System.out.println("one change: all messages, bytes: " + messageBytes);
            long total =
                    fleet
                            .get(0)
                            .state()
                            .inForce()
                            .orElseThrow()
                            .revision()
                            .objects()
                            .values()
                            .stream()
                            .mapToLong(b -> b.length)
                            .sum();
            System.out.println("complete bundle, bytes: " + total);
        }
    }

    private static void print(String name, long[] nanos) {
        double first = nanos[0] / 1e6;
        Arrays.sort(nanos);
        System.out.printf(
                "%s: median %.2f, 95 %% %.2f, first %.2f%n",
                name, nanos[nanos.length / 2] / 1e6, nanos[nanos.length * 95 / 100] / 1e6, first);
    }
}
