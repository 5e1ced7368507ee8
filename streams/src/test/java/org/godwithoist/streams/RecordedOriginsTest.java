package org.godwithoist.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RecordedOriginsTest {
    private static final ServiceId SERVICE = new ServiceId("models");
    private static final Duration TIME_LEFT = Duration.ofSeconds(15);
    private static final int LOOKUP_CLIENTS = 4;

    private final VirtualTicker ticker = new VirtualTicker();
    private final FakeOriginStore store = new FakeOriginStore(ticker);
    private final EventLog log = EventLog.start(OutputStream.nullOutputStream());

    /** A daemon with its task. */
    private final class Daemon {
        private boolean hearsOfVersions = true;
        private final RecordedOrigins origins =
                new RecordedOrigins(
                        Collections.nCopies(LOOKUP_CLIENTS, store),
                        () -> hearsOfVersions,
                        log,
                        ticker);
        private final OriginTask task =
                new OriginTask(origins, store, () -> 8, log, ticker, new SplittableRandom(1));

        /** Creates a daemon that sees targets of some versions. */
        Daemon(String... versions) {
            see(versions);
        }

        void see(String... versions) {
            List<TargetEntry> entries = new ArrayList<>();
            for (String v : versions) {
                entries.add(entry(v));
            }
            origins.setTargets(entries);
        }

        void begin(String id, String version) {
            origins.began(stream(id), origin(version), TIME_LEFT);
        }

        Optional<StreamOrigin> find(String id) {
            return origins.find(stream(id), TIME_LEFT);
        }
    }

    private static StreamId stream(String id) {
        return new StreamId(SERVICE, new RequestId(id));
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin(Optional.of(new SoftwareVersion(version)));
    }

    private static TargetEntry entry(String version) {
        return new TargetEntry(
                new TargetId("target-" + version),
                SERVICE,
                new Endpoint("127.0.0.1", 1),
                new FailureDomainId("zone"),
                8,
                false,
                Duration.ZERO,
                1,
                Optional.of(new SoftwareVersion(version)));
    }

    private void pass(Duration time, Daemon... daemons) {
        ticker.advance(time);
        for (Daemon d : daemons) {
            d.task.step();
        }
    }

    @Nested
    final class OneVersion {
        /** Guards against take-ups that are refused although only one version has ever served. */
        @Test
        void beganEachStream() {
            assertEquals(Optional.of(origin("v1")), new Daemon("v1").find("unknown"));
        }

        /** Guards against calls to the store for each stream where there is nothing to tell. */
        @Test
        void costsNoWritesOfStreams() {
            Daemon daemon = new Daemon("v1");
            daemon.task.step();
            int writes = store.writes;
            for (int i = 0; i < 500; i++) {
                daemon.begin("s" + i, "v1");
                pass(Duration.ofMillis(400), daemon);
            }
            assertEquals(writes, store.writes);
            assertEquals(0, store.rowCount());
        }

        /** Guards against a refusal of all take-ups after the loss of all daemons. */
        @Test
        void isKnownToDaemonsThatStartLater() {
            new Daemon("v1").task.step();
            ticker.advance(Duration.ofSeconds(1));
            assertEquals(Optional.of(origin("v1")), new Daemon("v1").find("unknown"));
        }

        /** Guards against a version that is taken for the only one because the store is down. */
        @Test
        void isNotKnownWithoutTheStore() {
            store.down = true;
            assertEquals(Optional.empty(), new Daemon("v1").find("unknown"));
        }
    }

    @Nested
    final class SeveralVersions {
        /** Guards against a stream that goes on at another daemon's guess. */
        @Test
        void streamIsFoundByAnotherDaemon() {
            Daemon first = new Daemon("v1", "v2");
            Daemon second = new Daemon("v1", "v2");
            first.begin("s", "v2");
            pass(Duration.ofMillis(400), first, second);
            assertEquals(Optional.of(origin("v2")), second.find("s"));
            assertEquals(Optional.empty(), second.find("other"));
        }

        /** Guards against a beginning that is lost with all daemons. */
        @Test
        void streamIsFoundByDaemonsThatStartLater() {
            Daemon first = new Daemon("v1", "v2");
            first.begin("s", "v1");
            pass(Duration.ofMillis(400), first);
            assertEquals(Optional.of(origin("v1")), new Daemon("v1", "v2").find("s"));
            assertEquals(Optional.of(origin("v1")), new Daemon("v2").find("s"));
        }

        /** Guards against streams that began before the second version and are not stored. */
        @Test
        void earlierStreamsAreStoredWhenAnotherVersionComes() {
            Daemon first = new Daemon("v1");
            pass(Duration.ofMillis(400), first);
            first.begin("s", "v1");
            first.see("v1", "v2");
            pass(Duration.ofMillis(400), first);
            assertEquals(Optional.of(origin("v1")), new Daemon("v1", "v2").find("s"));
        }

        /** Guards against a daemon that starts after a version has left and knows one only. */
        @Test
        void versionThatLeftStillCounts() {
            Daemon first = new Daemon("v1", "v2");
            pass(Duration.ofMillis(400), first);
            first.see("v2");
            pass(Duration.ofMillis(400), first);
            Daemon later = new Daemon("v2");
            assertEquals(Optional.empty(), later.find("unsaved"));
            pass(Duration.ofSeconds(40), first);
            assertEquals(Optional.of(origin("v2")), new Daemon("v2").find("new"));
        }

        /** Guards against a version that counts for ever because its last daemon was killed. */
        @Test
        void versionThatLeftDuringAnOutageIsForgotten() {
            pass(Duration.ofMillis(400), new Daemon("v1", "v2"));
            Daemon later = new Daemon("v2");
            pass(Duration.ofMillis(400), later);
            assertEquals(Optional.empty(), later.find("unsaved"));
            pass(Duration.ofSeconds(6), later);
            pass(Duration.ofSeconds(40), later);
            assertEquals(Optional.of(origin("v2")), new Daemon("v2").find("new"));
        }

        /** Guards against targets without a version that count as any version. */
        @Test
        void noVersionIsOneOfItsOwn() {
            Daemon daemon = new Daemon("v1");
            List<TargetEntry> entries = new ArrayList<>(List.of(entry("v1")));
            entries.add(
                    new TargetEntry(
                            new TargetId("unversioned"),
                            SERVICE,
                            new Endpoint("127.0.0.1", 2),
                            new FailureDomainId("zone"),
                            8,
                            false,
                            Duration.ZERO,
                            1));
            daemon.origins.setTargets(entries);
            assertEquals(Optional.empty(), daemon.find("unknown"));
        }
    }

    /** Scenario: a daemon has lost the store, and others have not. */
    @Nested
    final class DaemonWithoutTheStore {
        private final Daemon daemon = new Daemon("v1");
        private final Daemon other = new Daemon("v1");

        private void loseTheStore() {
            pass(Duration.ofMillis(400), daemon, other);
            store.down = true;
        }

        private void tell() {
            other.origins.sightings().forEach(daemon.origins::merge);
        }

        /** Guards against the claim that there is one version although another daemon knows two. */
        @Test
        void believesAnotherDaemonThatThereAreSeveral() {
            loseTheStore();
            other.see("v1", "v2");
            tell();
            assertEquals(Optional.empty(), daemon.find("unknown"));
        }

        /** Guards against take-ups that are refused during an outage although nothing changes. */
        @Test
        void servesTheOnlyVersionThatAnyoneKnows() {
            loseTheStore();
            tell();
            assertEquals(Optional.of(origin("v1")), daemon.find("unknown"));
        }

        /** Guards against the same claim by a daemon that nobody could tell. */
        @Test
        void doesNotKnowTheOnlyVersionIfItHearsNothing() {
            loseTheStore();
            daemon.hearsOfVersions = false;
            assertEquals(Optional.empty(), daemon.find("unknown"));
        }

        /** Guards against a version that counts for ever because daemons remind each other. */
        @Test
        void forgetsAVersionThatHasLeft() {
            loseTheStore();
            other.see("v1", "v2");
            tell();
            other.see("v1");
            for (int i = 0; i < 40; i++) {
                tell();
                daemon.origins.sightings().forEach(other.origins::merge);
                ticker.advance(Duration.ofSeconds(1));
            }
            assertEquals(List.of(), daemon.origins.sightings());
            assertEquals(Optional.of(origin("v1")), daemon.find("unknown"));
        }

        /** Guards against state for services that only a report knows. */
        @Test
        void ignoresServicesWithoutTargets() {
            VersionSighting sighting =
                    new VersionSighting(new ServiceId("other"), origin("v1"), Duration.ZERO);
            assertFalse(daemon.origins.merge(sighting));
        }
    }

    @Nested
    final class Store {
        /** Guards against a beginning that is guessed after the store has forgotten it. */
        @Test
        void restoredOneKnowsNothing() {
            Daemon daemon = new Daemon("v1");
            pass(Duration.ofMillis(400), daemon);
            store.restore();
            assertEquals(Optional.empty(), new Daemon("v1").find("unknown"));
        }

        /** Guards against a new daemon whose ignorance outweighs what the others know. */
        @Test
        void restoredOneLearnsFromTheDaemonsThatKnowMore() {
            Daemon daemon = new Daemon("v1");
            pass(Duration.ofMillis(400), daemon);
            store.restore();
            pass(Duration.ofMillis(400), new Daemon("v1"));
            assertEquals(Optional.empty(), new Daemon("v1").find("unknown"));
            daemon.origins.storeRestored();
            pass(Duration.ofMillis(400), daemon);
            assertEquals(Optional.of(origin("v1")), new Daemon("v1").find("unknown"));
        }

        /** Guards against beginnings that stay lost although a daemon knows them. */
        @Test
        void restoredOneIsWrittenAgain() {
            Daemon daemon = new Daemon("v1", "v2");
            daemon.begin("s", "v1");
            pass(Duration.ofMillis(400), daemon);
            store.restore();
            daemon.origins.storeRestored();
            pass(Duration.ofMillis(400), daemon);
            assertEquals(Optional.of(origin("v1")), new Daemon("v1", "v2").find("s"));
        }

        /** Guards against beginnings that are never written because the store was down. */
        @Test
        void getsLaterWhatItDidNotAccept() {
            Daemon daemon = new Daemon("v1", "v2");
            store.down = true;
            daemon.begin("s", "v1");
            pass(Duration.ofMillis(400), daemon);
            store.down = false;
            pass(Duration.ofMillis(400), daemon);
            assertEquals(Optional.of(origin("v1")), new Daemon("v1", "v2").find("s"));
        }

        /** Guards against streams that are never saved, because they wait for the store's time. */
        @Test
        void getsStreamsThatBeganBeforeItsTimeWasKnown() {
            Daemon daemon = new Daemon("v1", "v2");
            store.clockKnown = false;
            daemon.begin("s", "v1");
            pass(Duration.ofMillis(400), daemon);
            assertEquals(1, store.rowCount());
        }

        /** Guards against transactions with more changes than the store accepts. */
        @Test
        void getsBatchesItAccepts() {
            Daemon daemon = new Daemon("v1", "v2");
            for (int i = 0; i < 250; i++) {
                daemon.begin("s" + i, "v1");
            }
            pass(Duration.ofMillis(400), daemon);
            assertEquals(250, store.rowCount());
            assertTrue(store.changes.stream().allMatch(n -> n <= OriginStore.MAX_CHANGES));
        }

        /** Guards against rows that are kept for ever. */
        @Test
        void losesTheRowsThatNobodyNeeds() {
            Daemon daemon = new Daemon("v1", "v2");
            daemon.begin("s", "v1");
            pass(Duration.ofMillis(400), daemon);
            assertEquals(1, store.rowCount());
            pass(Duration.ofSeconds(30), daemon);
            assertEquals(0, store.rowCount());
            assertEquals(0, daemon.origins.remembered());
        }
    }

    /** Scenario: one daemon knows less than the fleet, and decides where a stream goes on. */
    @Nested
    final class IncompleteKnowledge {
        private static final Duration LONG_TIME_LEFT = Duration.ofMinutes(2);

        /**
         * Guards against a stream that goes on at another version because the daemon that takes it
         * up has seen only requests with short time limits, although its row is stored.
         */
        @Test
        void versionThatLeftCountsForAsLongAsStreamsOfOtherDaemonsWait() {
            Daemon first = new Daemon("v1", "v2");
            Daemon second = new Daemon("v1", "v2");
            second.origins.setLongestTimeLimit(LONG_TIME_LEFT);
            first.origins.began(stream("s"), origin("v2"), LONG_TIME_LEFT);
            pass(Duration.ofMillis(400), first, second);
            first.see("v1");
            second.see("v1");
            pass(Duration.ofSeconds(40), first, second);
            assertEquals(
                    Optional.of(origin("v2")),
                    second.origins.find(stream("s"), Duration.ofSeconds(70)));
        }

        /** Guards against the same at a daemon that starts after all others were killed. */
        @Test
        void versionThatLeftCountsForDaemonsThatStartLater() {
            Daemon first = new Daemon("v1", "v2");
            first.origins.began(stream("s"), origin("v2"), LONG_TIME_LEFT);
            pass(Duration.ofMillis(400), first);
            first.see("v1");
            pass(Duration.ofSeconds(40), first);
            Daemon later = new Daemon("v1");
            later.origins.setLongestTimeLimit(LONG_TIME_LEFT);
            assertEquals(
                    Optional.of(origin("v2")),
                    later.origins.find(stream("s"), Duration.ofSeconds(70)));
        }

        /**
         * Guards against a missing row that is taken as proof that no version has served, although
         * the store was restored from a copy that is older than the row.
         */
        @Test
        void restoreWithoutTheRowOfTheServiceProvesNothing() {
            Daemon first = new Daemon("v1", "v2");
            first.begin("s", "v2");
            pass(Duration.ofMillis(400), first);
            store.restore();
            store.forgetRecords();
            assertEquals(Optional.empty(), new Daemon("v1").find("s"));
        }

        /**
         * Guards against a version that returns and leaves between two writes, and whose row still
         * says that it left at the first time.
         */
        @Test
        void versionThatLeftTwiceCountsFromTheSecondTime() {
            Daemon first = new Daemon("v1", "v2");
            pass(Duration.ofMillis(400), first);
            first.see("v1");
            pass(Duration.ofMillis(400), first);
            ticker.advance(Duration.ofMinutes(10));
            first.see("v1", "v2");
            first.begin("s", "v2");
            ticker.advance(Duration.ofMillis(300));
            first.see("v1");
            pass(Duration.ofMillis(100), first);
            Optional<StreamOrigin> found = new Daemon("v1").find("unsaved");
            assertEquals(Optional.empty(), found);
        }

        /** Guards against streams of all services that stay unsaved because of one service. */
        @Test
        void serviceThatTheStoreRejectsDoesNotKeepOthersFromBeingSaved() {
            Daemon daemon = new Daemon("v1", "v2");
            store.rejected = Optional.of(new ServiceId("rejected"));
            List<TargetEntry> entries = new ArrayList<>(List.of(entry("v1"), entry("v2")));
            entries.add(
                    new TargetEntry(
                            new TargetId("other"),
                            new ServiceId("rejected"),
                            new Endpoint("127.0.0.1", 2),
                            new FailureDomainId("zone"),
                            8,
                            false,
                            Duration.ZERO,
                            1));
            daemon.origins.setTargets(entries);
            daemon.begin("s", "v2");
            for (int i = 0; i < 10; i++) {
                pass(Duration.ofMillis(400), daemon);
            }
            assertEquals(1, store.rowCount());
        }

        /** Guards against a version that counts again and again because messages take time. */
        @Test
        void versionThatLeftIsForgottenAlsoIfMessagesTakeTime() {
            Duration latency = Duration.ofMillis(20);
            List<Daemon> daemons = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                daemons.add(new Daemon("v1"));
            }
            daemons.get(0).see("v1", "v2");
            daemons.get(0).see("v1");
            Duration passed = Duration.ZERO;
            int i = 0;
            Duration step = Duration.ofMillis(63);
            while (passed.compareTo(Duration.ofSeconds(33)) < 0) {
                List<VersionSighting> sent = daemons.get(i).origins.sightings();
                ticker.advance(latency);
                for (Daemon d : daemons) {
                    if (!d.equals(daemons.get(i))) {
                        sent.forEach(
                                s ->
                                        d.origins.merge(
                                                new VersionSighting(
                                                        s.service(),
                                                        s.version(),
                                                        Duration.ofMillis(s.age().toMillis()))));
                    }
                }
                ticker.advance(step.minus(latency));
                passed = passed.plus(step);
                i = (i + 1) % 16;
            }
            assertEquals(List.of(), daemons.get(3).origins.sightings());
        }

        /**
         * Guards against take-ups that are refused although their rows are stored, because many
         * arrive together and the store takes some milliseconds for each.
         */
        @Test
        void manyTakeUpsAtOnceAreFound() throws InterruptedException {
            int n = 300;
            Daemon first = new Daemon("v1", "v2");
            for (int i = 0; i < n; i++) {
                first.begin("s" + i, "v2");
            }
            pass(Duration.ofMillis(400), first);
            Daemon second = new Daemon("v1", "v2");
            pass(Duration.ofMillis(400), second);
            store.latency = Duration.ofMillis(5);
            AtomicInteger found = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                String id = "s" + i;
                callers.add(
                        Thread.startVirtualThread(
                                () -> second.find(id).ifPresent(o -> found.incrementAndGet())));
            }
            for (Thread t : callers) {
                t.join();
            }
            assertEquals(n, found.get());
        }

        /**
         * Guards against a version that came and left while this daemon was cut off from the store
         * and from the other daemons, and that it never learns of.
         */
        @Test
        void versionThatCameAndLeftDuringACutIsNotOverlooked() {
            Daemon cutOff = new Daemon("v1");
            Daemon other = new Daemon("v1");
            pass(Duration.ofMillis(400), cutOff, other);
            cutOff.hearsOfVersions = false;
            other.see("v1", "v2");
            other.begin("s", "v2");
            pass(Duration.ofMillis(400), other);
            other.see("v1");
            pass(Duration.ofSeconds(5), other);
            cutOff.hearsOfVersions = true;
            cutOff.origins.storeRegained();
            pass(Duration.ofMillis(400), cutOff);
            assertEquals(Optional.of(origin("v2")), cutOff.find("s"));
        }

        /**
         * Guards against a version that appears while the row is being written and that no later
         * write names, so that daemons that start after it has left take no notice of it.
         */
        @Test
        void versionThatAppearsDuringAWriteOfTheRowIsWrittenLater() {
            Daemon daemon = new Daemon("v1");
            store.onWriteServed = () -> daemon.see("v1", "v2");
            daemon.task.step();
            store.onWriteServed = () -> {};
            for (int i = 0; i < 30; i++) {
                pass(Duration.ofMillis(400), daemon);
            }
            assertTrue(store.record(SERVICE).orElseThrow().untilMs().containsKey(origin("v2")));
        }

        /** Guards against a stream whose row is removed although its caller still takes it up. */
        @Test
        void rowIsKeptWhileTheStreamGoesOnAtAnotherDaemon() {
            Daemon first = new Daemon("v1", "v2");
            Daemon second = new Daemon("v1", "v2");
            first.begin("s", "v2");
            pass(Duration.ofMillis(400), first, second);
            ticker.advance(Duration.ofSeconds(14));
            assertEquals(Optional.of(origin("v2")), second.find("s"));
            pass(Duration.ofSeconds(8), first, second);
            assertEquals(Optional.of(origin("v2")), new Daemon("v1", "v2").find("s"));
        }

        /**
         * Guards against two daemons that exchange messages, each of which takes the version that
         * it sees for the only one. One was cut off while a version replaced the other, hears the
         * other daemon again, but not the store, and goes on with the targets that it knows.
         */
        @Test
        void daemonsThatSeeOneVersionEachTellEachOther() {
            Daemon cutOff = new Daemon("v1");
            Daemon other = new Daemon("v1");
            pass(Duration.ofMillis(400), cutOff, other);
            other.see("v1", "v2");
            pass(Duration.ofSeconds(1), other);
            other.see("v2");
            pass(Duration.ofSeconds(40), other);
            for (int i = 0; i < 5; i++) {
                pass(Duration.ofSeconds(1), other);
                exchange(cutOff, other);
            }
            other.begin("s", "v2");
            cutOff.begin("t", "v1");
            exchange(cutOff, other);
            assertEquals(
                    List.of(Optional.empty(), Optional.empty()),
                    List.of(cutOff.find("s"), other.find("t")));
        }

        private void exchange(Daemon a, Daemon b) {
            List<VersionSighting> ofA = a.origins.sightings();
            b.origins.sightings().forEach(a.origins::merge);
            ofA.forEach(b.origins::merge);
        }
    }
}
