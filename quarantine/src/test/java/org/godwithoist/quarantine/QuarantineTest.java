package org.godwithoist.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.quarantine.wire.EvidenceCodec;
import org.godwithoist.targets.TargetIncarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link Quarantine} in virtual time. */
final class QuarantineTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final List<SuspectId> SOUND = prompt("a1", "b2");
    private static final List<SuspectId> POISON = prompt("a1", "b2", "dead");

    private final VirtualTicker ticker = new VirtualTicker();
    private final Quarantine quarantine = newQuarantine();
    private int crashes;

    private static List<SuspectId> prompt(String... parts) {
        return Stream.of(parts).map(SuspectId::new).toList();
    }

    private static SuspectId requestId(String name) {
        return SuspectId.of(RequestFingerprint.of(digest -> {}, name));
    }

    private Quarantine newQuarantine() {
        return new Quarantine(EventLog.start(OutputStream.nullOutputStream()), ticker);
    }

    private void crash(Quarantine at, List<SuspectId> prompt) {
        ticker.advance(STEP);
        at.recordCrash(new TargetIncarnation(new TargetId("i-" + crashes++), 1), prompt);
    }

    private void crash(List<SuspectId> prompt) {
        crash(quarantine, prompt);
    }

    private void respond(Quarantine at, List<SuspectId> prompt) {
        ticker.advance(STEP);
        at.recordResponse(prompt, ticker.nanos());
    }

    private boolean blocks(List<SuspectId> prompt) {
        return quarantine.remaining(prompt).isPresent();
    }

    @Nested
    final class PoisonPart {
        /** Guards against a part that crashes more targets than it takes to be certain of it. */
        @Test
        void twoCrashesQuarantineAPromptWithoutAResponse() {
            crash(POISON);
            assertFalse(blocks(POISON));
            crash(POISON);
            assertTrue(blocks(POISON));
        }

        /** Guards against a part that is never blamed because its prompts differ. */
        @Test
        void fiveCrashesQuarantineAPartOfDifferentPrompts() {
            for (int i = 0; i < 4; i++) {
                crash(prompt("dead", "own-" + i));
            }
            assertFalse(blocks(prompt("dead", "own-9")));
            crash(prompt("dead", "own-4"));
            assertTrue(blocks(prompt("dead", "own-9")));
        }

        /** Guards against a part that is never blamed because targets responded to it before. */
        @Test
        void fiveCrashesQuarantineAPartThatWasAnswered() {
            respond(quarantine, POISON);
            for (int i = 0; i < 4; i++) {
                crash(POISON);
                assertFalse(blocks(POISON));
            }
            crash(POISON);
            assertTrue(blocks(POISON));
        }

        /** Guards against a part that is found only at one place of a prompt. */
        @Test
        void partIsFoundAtAnyPlace() {
            for (List<SuspectId> poison :
                    List.of(prompt("first", "a1", "b2"), prompt("a1", "second", "b2"))) {
                respond(quarantine, SOUND);
                crash(poison);
                crash(poison);
                assertTrue(blocks(poison));
                assertFalse(blocks(SOUND));
            }
        }

        /** Guards against one crash that counts once for each request that it broke off. */
        @Test
        void oneCrashCountsOnce() {
            TargetIncarnation target = new TargetIncarnation(new TargetId("i"), 1);
            for (int i = 0; i < 10; i++) {
                quarantine.recordCrash(target, POISON);
            }
            assertFalse(blocks(POISON));
        }
    }

    /** Scenario: requests crash targets by themselves; sound ones share all their other parts. */
    @Nested
    final class PoisonRequest {
        private static List<SuspectId> request(String name) {
            List<SuspectId> prompt = new ArrayList<>(SOUND);
            prompt.add(requestId(name));
            return prompt;
        }

        /** Guards against a request that crashes one target after the other. */
        @Test
        void twoCrashesQuarantineARequestBesideSoundOnes() {
            respond(quarantine, request("sound"));
            for (int i = 0; i < 2; i++) {
                crash(request("deadly"));
                respond(quarantine, request("sound"));
            }
            assertTrue(blocks(request("deadly")));
            assertFalse(blocks(request("sound")));
        }

        /** Guards against several such requests for which a part is blamed that all share. */
        @Test
        void partOfSoundRequestsIsNotBlamedForSeveralOfThem() {
            for (int i = 0; i < 4; i++) {
                respond(quarantine, request("sound-" + i));
                crash(request("deadly-" + i));
                crash(request("deadly-" + i));
            }
            assertTrue(blocks(request("deadly-0")));
            assertFalse(blocks(request("sound")));
        }

        /** Guards against a poison part that is hidden by the requests that contain it. */
        @Test
        void partOfDifferentRequestsIsStillBlamed() {
            for (int i = 0; i < 3; i++) {
                respond(quarantine, prompt("other-" + i));
                List<SuspectId> poison = new ArrayList<>(prompt("other-" + i, "dead"));
                poison.add(requestId("poison-" + i));
                crash(poison);
                crash(poison);
            }
            assertTrue(blocks(prompt("another", "dead")));
        }

        /** Guards against daemons that do not recognize what another one has found. */
        @Test
        void evidenceReachesOtherDaemons() throws IOException {
            respond(quarantine, request("sound"));
            crash(request("deadly"));
            crash(request("deadly"));
            Quarantine other = newQuarantine();
            other.merge(encodedAndDecoded(quarantine.evidence()));
            assertTrue(other.remaining(request("deadly")).isPresent());
        }

        private static List<SuspectEvidence> encodedAndDecoded(List<SuspectEvidence> evidence)
                throws IOException {
            List<SuspectEvidence> decoded = new ArrayList<>();
            for (SuspectEvidence e : evidence) {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                EvidenceCodec.write(e, new DataOutputStream(bytes));
                ByteArrayInputStream in = new ByteArrayInputStream(bytes.toByteArray());
                decoded.add(EvidenceCodec.read(new DataInputStream(in)));
            }
            return decoded;
        }
    }

    /** Scenario: sound requests run at the targets that a request crashes. */
    @Nested
    final class RequestsBesideCrashes {
        private static final List<SuspectId> DEADLY = List.of(requestId("deadly"));
        private static final List<SuspectId> BESIDE = List.of(requestId("beside"));
        private static final List<SuspectId> POLL = List.of(requestId("poll"));

        private void crashBoth(List<SuspectId> first, List<SuspectId> second) {
            crash(first);
            crashes--;
            crash(second);
        }

        /** Guards against a sound request that is refused for the crashes of another one. */
        @Test
        void requestsWithTheSameCrashesAreNotRefused() {
            crashBoth(DEADLY, BESIDE);
            crashBoth(DEADLY, BESIDE);
            assertFalse(blocks(BESIDE));
            assertFalse(blocks(DEADLY));
            respond(quarantine, BESIDE);
            assertTrue(blocks(DEADLY));
            assertFalse(blocks(BESIDE));
        }

        /** Guards against a sound request that is blamed because it ran beside two deadly ones. */
        @Test
        void requestThatSharesItsCrashesWithOthersIsNotRefused() {
            crash(DEADLY);
            crashBoth(DEADLY, BESIDE);
            crashBoth(List.of(requestId("another")), BESIDE);
            assertFalse(blocks(BESIDE));
            crash(DEADLY);
            assertTrue(blocks(DEADLY));
            assertFalse(blocks(BESIDE));
        }

        /**
         * Guards against a request that is refused because hosts were lost with all their targets.
         */
        @Test
        void requestOfTargetsThatAreLostTogetherIsNotRefused() {
            for (int loss = 0; loss < 2; loss++) {
                crash(BESIDE);
                crash(List.of(requestId("at another target " + loss)));
                ticker.advance(Duration.ofSeconds(10));
            }
            assertFalse(blocks(BESIDE));
            crash(BESIDE);
            assertTrue(blocks(BESIDE));
        }

        /** Guards against crashes that look simultaneous because their messages were delayed. */
        @Test
        void messagesThatArriveTogetherAreNoCommonCause() {
            List<List<SuspectEvidence>> delayed = new ArrayList<>();
            for (List<SuspectId> request : List.of(DEADLY, BESIDE, DEADLY)) {
                crash(request);
                delayed.add(quarantine.evidence());
                ticker.advance(Duration.ofSeconds(1));
            }
            Quarantine paused = newQuarantine();
            delayed.forEach(paused::merge);
            assertTrue(paused.remaining(DEADLY).isPresent());
            assertFalse(paused.remaining(BESIDE).isPresent());
        }

        /** Guards against two requests that always crash targets together. */
        @Test
        void requestsThatAlwaysCrashTogetherAreRefusedInTheEnd() {
            for (int i = 0; i < 4; i++) {
                assertFalse(blocks(DEADLY));
                crashBoth(DEADLY, BESIDE);
            }
            assertTrue(blocks(DEADLY));
            assertTrue(blocks(BESIDE));
        }

        /** Guards against a poll that is refused although targets respond to it between crashes. */
        @Test
        void pollThatIsAnsweredBetweenCrashesIsNeverRefused() {
            for (int i = 0; i < 20; i++) {
                crashBoth(List.of(requestId("deadly-" + i)), POLL);
                assertFalse(blocks(POLL));
                respond(quarantine, POLL);
            }
        }

        /** Guards against a poll that is refused while the service has no target left. */
        @Test
        void pollThatWasAnsweredBeforeIsNotRefusedForAFewCrashes() {
            respond(quarantine, POLL);
            for (int i = 0; i < 4; i++) {
                crashBoth(List.of(requestId("deadly-" + i)), POLL);
                assertFalse(blocks(POLL));
            }
        }

        /** Guards against a request that was sound once and is never refused again. */
        @Test
        void requestThatBecomesDeadlyIsRefused() {
            respond(quarantine, POLL);
            for (int i = 0; i < 5; i++) {
                assertFalse(blocks(POLL));
                crash(POLL);
            }
            assertTrue(blocks(POLL));
        }

        /** Guards against a daemon that refuses a poll to which others got responses. */
        @Test
        void daemonsTellEachOtherOfResponsesAtOnce() {
            Quarantine other = newQuarantine();
            respond(other, POLL);
            for (int i = 0; i < 2; i++) {
                crash(POLL);
                other.merge(quarantine.evidence());
            }
            assertTrue(other.awaitObservation(Duration.ofSeconds(1)));
            quarantine.merge(other.evidence());
            assertFalse(blocks(POLL));
        }

        /** Guards against messages without end about requests that were at one crash only. */
        @Test
        void requestsOfOneCrashAreAnnouncedForAShortTime() {
            crash(BESIDE);
            assertEquals(1, quarantine.evidence().size());
            ticker.advance(Duration.ofSeconds(6));
            assertTrue(quarantine.evidence().isEmpty());
            crash(BESIDE);
            ticker.advance(Duration.ofSeconds(6));
            assertEquals(1, quarantine.evidence().size());
        }
    }

    @Nested
    final class SoundParts {
        /** Guards against sound requests that are refused because they share other parts. */
        @Test
        void partsOfSoundRequestsAreNotBlamed() {
            for (int i = 0; i < 8; i++) {
                respond(quarantine, SOUND);
                crash(POISON);
                assertFalse(blocks(SOUND));
            }
        }

        /** Guards against parts that are refused although nothing tells them from the poison. */
        @Test
        void partsThatOnlyOccurTogetherAreBlockedTogether() {
            for (int i = 0; i < 3; i++) {
                crash(POISON);
            }
            assertFalse(blocks(SOUND));
            assertFalse(blocks(prompt("dead")));
            assertTrue(blocks(POISON));
        }

        /** Guards against a shared part that is blamed for the crashes of two poison parts. */
        @Test
        void twoPoisonPartsAreFoundBesideASharedOne() {
            respond(quarantine, prompt("a1"));
            for (int i = 0; i < 3; i++) {
                crash(prompt("a1", "dead"));
                crash(prompt("a1", "gone"));
            }
            assertTrue(blocks(prompt("a1", "dead")));
            assertTrue(blocks(prompt("a1", "gone")));
            assertFalse(blocks(prompt("a1", "b2")));
        }

        /** Guards against a shared part that is blamed when targets crash after a restart. */
        @Test
        void crashesOfDifferentPromptsDoNotBlockTheirSharedPart() {
            for (int i = 0; i < 4; i++) {
                crash(prompt("a1", "own-" + i));
            }
            assertFalse(blocks(prompt("a1", "own-0")));
        }

        /** Guards against a part that stays quarantined although a target responds to it. */
        @Test
        void responseReleasesAPart() {
            for (int i = 0; i < 5; i++) {
                crash(POISON);
            }
            respond(quarantine, POISON);
            assertFalse(blocks(POISON));
        }

        /** Guards against a response that clears a crash although it began before it. */
        @Test
        void responseThatBeganEarlierClearsNothing() {
            long respondedAt = ticker.nanos();
            for (int i = 0; i < 5; i++) {
                crash(POISON);
            }
            quarantine.recordResponse(POISON, respondedAt);
            assertTrue(blocks(POISON));
        }
    }

    @Nested
    final class Waiting {
        private final AtomicInteger withdrawn = new AtomicInteger();

        private WaitingRequests.Entry add(List<SuspectId> prompt) {
            return quarantine.waitingRequests().add(prompt, withdrawn::incrementAndGet);
        }

        private void awaitWithdrawn(int expected) {
            for (int i = 0; i < 200 && withdrawn.get() < expected; i++) {
                Tasks.sleep(Duration.ofMillis(10));
            }
            assertEquals(expected, withdrawn.get());
        }

        /** Guards against waiting requests that crash targets after their prompt is known. */
        @Test
        void requestsOfAQuarantinedPromptAreWithdrawn() {
            add(POISON);
            add(SOUND);
            add(POISON).close();
            crash(POISON);
            crash(POISON);
            awaitWithdrawn(1);
        }

        /** Guards against a request that is sent while its prompt is being quarantined. */
        @Test
        void requestThatComesLateIsWithdrawnAtOnce() {
            crash(POISON);
            crash(POISON);
            add(POISON);
            assertEquals(1, withdrawn.get());
        }
    }

    @Nested
    final class Ends {
        /** Guards against a part that is never tried again. */
        @Test
        void quarantineEndsAndOneMoreCrashProlongsIt() {
            for (int i = 0; i < 3; i++) {
                crash(POISON);
            }
            Duration first = quarantine.remaining(POISON).orElseThrow();
            ticker.advance(first);
            assertFalse(blocks(POISON));
            // Expired crashes are removed when the evidence is sent.
            assertFalse(quarantine.evidence().isEmpty());
            crash(POISON);
            assertEquals(first.multipliedBy(2), quarantine.remaining(POISON).orElseThrow());
        }

        /** Guards against evidence that uses up the memory of a daemon. */
        @Test
        void numberOfSuspectsIsLimited() {
            for (int i = 0; i < 3; i++) {
                crash(POISON);
            }
            for (int i = 0; i < 2000; i++) {
                crash(prompt("odd-" + i));
            }
            assertTrue(quarantine.evidence().size() <= 256);
            assertTrue(blocks(POISON));
        }
    }
}
