package org.godwithoist.chat.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Scenario: a small heap and bodies that need more than it. */
final class BodyBudgetTest {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int CHUNK_BYTES = 16 << 10;
    private static final int SMALL_BODY_BYTES = 64 << 10;

    private final VirtualTicker ticker = new VirtualTicker();
    private final BodyBudget budget = BodyBudget.ofHeap(64L << 20, MAX_BODY_BYTES, ticker);
    private final List<BodyBudget.Claim> revoked = new ArrayList<>();

    private BodyBudget.Claim claim() {
        BodyBudget.Claim[] claim = new BodyBudget.Claim[1];
        claim[0] = budget.claim(() -> revoked.add(claim[0])).orElseThrow();
        return claim[0];
    }

    private static boolean addAll(BodyBudget.Claim claim, int bytes) {
        boolean added = true;
        for (int left = bytes; added && left > 0; left -= CHUNK_BYTES) {
            added = claim.add(Math.min(left, CHUNK_BYTES));
        }
        return added;
    }

    @Nested
    final class OneBody {
        /** Guards against a limit that no request of legal size can meet. */
        @Test
        void largestOneFits() {
            assertTrue(addAll(claim(), MAX_BODY_BYTES));
        }

        @Test
        void memoryIsReleasedOnce() {
            BodyBudget.Claim claim = claim();
            assertTrue(addAll(claim, SMALL_BODY_BYTES));
            claim.release();
            claim.release();
            assertEquals(0, budget.used());
            assertFalse(claim.add(1));
        }
    }

    /** Load: a large body that has all the memory of large ones. */
    @Nested
    final class BesideALargeBody {
        private final BodyBudget.Claim large = claim();

        private void fill() {
            assertTrue(addAll(large, MAX_BODY_BYTES));
        }

        @Test
        void smallOneFits() {
            fill();
            assertTrue(addAll(claim(), SMALL_BODY_BYTES));
        }

        @Test
        void secondLargeOneIsRefusedWhileTheFirstGoesOn() {
            fill();
            assertFalse(addAll(claim(), MAX_BODY_BYTES));
            assertEquals(List.of(), revoked);
        }

        @Test
        void firstOneGivesWayIfItLags() {
            fill();
            ticker.advance(Duration.ofSeconds(2));
            assertTrue(addAll(claim(), MAX_BODY_BYTES));
            assertEquals(List.of(large), revoked);
            assertFalse(large.complete());
        }

        /** Guards against a request that ends although a target runs it. */
        @Test
        void completeOneDoesNotGiveWay() {
            fill();
            assertTrue(large.complete());
            ticker.advance(Duration.ofSeconds(2));
            assertFalse(addAll(claim(), MAX_BODY_BYTES));
            assertEquals(List.of(), revoked);
        }
    }

    /** Load: more requests than there is memory for, of whose bodies nothing has come. */
    @Nested
    final class ManyAnnouncedBodies {
        /** Guards against requests that are refused because of clients that send nothing. */
        @Test
        void giveWayIfTheyLag() {
            Optional<BodyBudget.Claim> last = budget.claim(() -> {});
            while (last.isPresent()) {
                last = budget.claim(() -> {});
            }
            ticker.advance(Duration.ofSeconds(2));
            assertTrue(budget.claim(() -> {}).isPresent());
        }
    }

    /** Load: more small bodies than there is memory for. */
    @Nested
    final class ManySmallBodies {
        /** Guards against small requests that are lost to a large one. */
        @Test
        void doNotGiveWayToALargeOne() {
            for (int i = 0; i < 10; i++) {
                assertTrue(addAll(claim(), SMALL_BODY_BYTES));
            }
            ticker.advance(Duration.ofSeconds(2));
            addAll(claim(), MAX_BODY_BYTES);
            assertEquals(List.of(), revoked);
        }

        @Test
        void giveWayToOthersIfTheyLag() {
            boolean hasRoom = true;
            while (hasRoom) {
                hasRoom = addAll(claim(), SMALL_BODY_BYTES);
            }
            ticker.advance(Duration.ofSeconds(2));
            assertTrue(addAll(claim(), SMALL_BODY_BYTES));
            assertFalse(revoked.isEmpty());
        }
    }
}
