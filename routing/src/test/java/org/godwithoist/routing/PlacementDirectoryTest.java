package org.godwithoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.routing.PlacementChange.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlacementDirectoryTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final PlacementDirectory directory = new PlacementDirectory(100, ticker);
    private final ChatId chat = new ChatId("chat");
    private final TargetId firstTarget = new TargetId("one");
    private final TargetId secondTarget = new TargetId("two");

    private static Optional<RunningRequest> run(String attempt) {
        return Optional.of(new RunningRequest(new RequestId(attempt), 0, new HostId("daemon")));
    }

    private void report(Kind kind, TargetId target, long tokens, Optional<RunningRequest> run) {
        directory.report(chat, new PlacementChange(kind, target, tokens, run));
    }

    private Placement placement() {
        return directory.lookup(chat).orElseThrow();
    }

    /** Guards against a late report that overwrites a newer placement. */
    @Nested
    final class LateReports {
        @Test
        void endOfAnOlderRequestKeepsTheNewerPlacement() {
            report(Kind.STARTED, firstTarget, 0, run("a"));
            report(Kind.STARTED, secondTarget, 0, run("b"));
            report(Kind.FINISHED, firstTarget, 500, run("a"));
            assertEquals(secondTarget, placement().target());
            assertEquals(0, placement().cachedTokens());
        }

        @Test
        void evictionReportedRightAfterAUseIsIgnored() {
            report(Kind.FINISHED, firstTarget, 500, Optional.empty());
            ticker.advance(Duration.ofSeconds(1));
            report(Kind.EVICTED, firstTarget, 0, Optional.empty());
            assertEquals(500, placement().cachedTokens());
        }

        @Test
        void evictionReportedLaterIsApplied() {
            report(Kind.FINISHED, firstTarget, 500, Optional.empty());
            ticker.advance(Duration.ofSeconds(5));
            report(Kind.EVICTED, secondTarget, 0, Optional.empty());
            assertEquals(500, placement().cachedTokens());
            report(Kind.EVICTED, firstTarget, 0, Optional.empty());
            assertEquals(0, placement().cachedTokens());
        }
    }

    /** Guards against unbounded memory of the directory. */
    @Nested
    final class MemoryBounds {
        @Test
        void evictsTheLeastRecentlyUsedChat() {
            report(Kind.FINISHED, firstTarget, 500, Optional.empty());
            for (int i = 0; i < 100; i++) {
                directory.lookup(chat);
                var other = new PlacementChange(Kind.FINISHED, secondTarget, 1, Optional.empty());
                directory.report(new ChatId("other-" + i), other);
            }
            assertEquals(100, directory.size());
            assertEquals(firstTarget, placement().target());
        }

        @Test
        void memoryOfAChatIsBelowAKilobyte() {
            int chats = 100_000;
            var largeDirectory = new PlacementDirectory(chats, ticker);
            long before = usedBytes();
            for (int i = 0; i < chats; i++) {
                largeDirectory.report(
                        new ChatId(String.format("workspace-%03d/%032d", i % 300, i)),
                        new PlacementChange(
                                Kind.STARTED, firstTarget, 0, run("0f8e7a9c-request-" + i + ".1")));
            }
            long bytes = (usedBytes() - before) / chats;
            System.out.println("placement directory: " + bytes + " bytes for each chat");
            assertTrue(bytes < 1_024, "a chat takes " + bytes + " bytes");
            assertEquals(chats, largeDirectory.size());
        }

        private static long usedBytes() {
            Runtime runtime = Runtime.getRuntime();
            for (int i = 0; i < 3; i++) {
                System.gc();
            }
            return runtime.totalMemory() - runtime.freeMemory();
        }
    }
}
