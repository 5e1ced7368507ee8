package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class BodySizesTest {
    /** Returns as many sizes as are needed to use them, by repeating the given ones. */
    private static BodySizes sizes(long... bytes) {
        return sizes(BodySizes.MIN_COUNT, bytes);
    }

    private static BodySizes sizes(int count, long[] bytes) {
        BodySizes sizes = BodySizes.NONE;
        for (int i = 0; i < count; i++) {
            sizes = sizes.with(bytes[i % bytes.length]);
        }
        return sizes;
    }

    @Nested
    final class FewBodies {
        private final BodySizes sizes = sizes(BodySizes.MIN_COUNT - 1, new long[] {800});

        /** Guards against sound bodies that are refused because few others are known. */
        @Test
        void refuteNothing() {
            assertEquals(BodySizes.Match.UNKNOWN, sizes.match(1));
            assertEquals(BodySizes.Match.UNKNOWN, sizes.match(1_000_000));
            assertFalse(sizes.isTooLong(1_000_000));
        }
    }

    @Nested
    final class OneSize {
        private final BodySizes sizes = sizes(800, 800, 800, 800, 800, 800, 800, 800);

        /** Guards against a part, or a longer mix, that passes as a body of the route. */
        @Test
        void refutesAllOthers() {
            assertEquals(BodySizes.Match.EXACT, sizes.match(800));
            assertEquals(BodySizes.Match.FAR, sizes.match(799));
            assertEquals(BodySizes.Match.FAR, sizes.match(801));
        }
    }

    @Nested
    final class SeveralSizes {
        private final BodySizes sizes = sizes(900, 880, 910, 905, 890, 895, 885, 900);

        /** Guards against sound bodies that are refused because they have grown or shrunk. */
        @Test
        void permitOthersNotFarOutside() {
            assertEquals(BodySizes.Match.NEAR, sizes.match(1030));
            assertEquals(BodySizes.Match.NEAR, sizes.match(760));
            assertFalse(sizes.isTooLong(1030));
        }

        /** Guards against halves and against bytes without end. */
        @Test
        void refuteThoseFarOutside() {
            assertEquals(BodySizes.Match.FAR, sizes.match(450));
            assertEquals(BodySizes.Match.FAR, sizes.match(1031));
            assertTrue(sizes.isTooLong(1031));
        }
    }

    /** Scenario: the connection ends behind the head of a response. */
    @Nested
    final class EmptyBody {
        /** Guards against a body that is cut to nothing where sizes vary too much to refute it. */
        @Test
        void isRefutedWhereNoneIsEmpty() {
            BodySizes sizes = sizes(120, 300, 410, 505, 690, 795, 885, 900);
            assertEquals(BodySizes.Match.FAR, sizes.match(0));
            assertEquals(BodySizes.Match.NEAR, sizes.match(1));
        }

        /** Guards against sound empty bodies that are refused. */
        @Test
        void isNotRefutedWhereOthersAreEmpty() {
            assertEquals(
                    BodySizes.Match.NEAR, sizes(0, 300, 410, 505, 690, 795, 885, 900).match(0));
            assertEquals(BodySizes.Match.EXACT, sizes(0, 0, 0, 0, 0, 0, 0, 0).match(0));
        }
    }

    /** Scenario: the sizes are remembered for a route and its service. */
    @Nested
    final class Memory {
        private static final ServiceId SERVICE = new ServiceId("s");
        private static final RouteId ROUTE = new RouteId("r");
        private static final RouteId RARE = new RouteId("rare");

        private final VirtualTicker ticker = new VirtualTicker();
        private final StatedEnds ends = new StatedEnds(ticker);

        private void recordBodies() {
            for (int i = 0; i < BodySizes.MIN_COUNT; i++) {
                ends.record(SERVICE, ROUTE, 100);
            }
        }

        /** Guards against junk on a route of which no body is known. */
        @Test
        void longBodyOfARareRouteIsComparedWithItsService() {
            recordBodies();
            assertTrue(ends.isTooLong(SERVICE, RARE, 101));
            assertEquals(BodySizes.Match.UNKNOWN, ends.sizes(SERVICE, RARE).match(1));
        }

        /** Guards against sizes that are used for twice their time because few others follow. */
        @Test
        void sizesOfARareRouteAreForgottenInTime() {
            recordBodies();
            ticker.advance(Duration.ofMinutes(9));
            ends.record(SERVICE, ROUTE, 100);
            assertTrue(ends.sizes(SERVICE, ROUTE).areKnown());
            ticker.advance(Duration.ofMinutes(2));
            assertFalse(ends.sizes(SERVICE, ROUTE).areKnown());
        }

        /** Guards against a route whose bodies have grown and are refused for good. */
        @Test
        void sizesAreForgotten() {
            recordBodies();
            ticker.advance(Duration.ofMinutes(6));
            ends.record(SERVICE, ROUTE, 10_000);
            assertFalse(ends.isTooLong(SERVICE, ROUTE, 15_000));
            ticker.advance(Duration.ofMinutes(10));
            assertEquals(BodySizes.NONE, ends.sizes(SERVICE, ROUTE));
        }
    }
}
