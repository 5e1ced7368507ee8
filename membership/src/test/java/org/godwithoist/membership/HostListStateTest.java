package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostEntry.State;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HostListStateTest {
    private static final long MS = 1_000_000;

    private final VirtualTicker ticker = new VirtualTicker();
    private final HostListState state = new HostListState(ticker);

    private static HostEntry engine(int n) {
        return TestDaemon.engine(n, "p", "d", State.LIVE);
    }

    private static HostEntry leaving(int n) {
        return TestDaemon.engine(n, "p", "d", State.LEAVING);
    }

    private static HostListCopy copy(HostEntry... hosts) {
        return HostListCopy.EMPTY.withContent(List.of(hosts));
    }

    private static HostListCopy copyOf(int count) {
        List<HostEntry> hosts =
                IntStream.range(0, count).mapToObj(HostListStateTest::engine).toList();
        return HostListCopy.EMPTY.withContent(hosts);
    }

    private boolean adopt(HostListCopy copy, long earliestMs, long latestMs) {
        return state.adopt(copy, new ReadTime(earliestMs * MS, latestMs * MS));
    }

    private HostListMessage.Content pull(HostListCopy base) {
        var request = HostListMessage.Request.changesSince(Optional.of(base.digest()));
        return state.respond(request).content().orElseThrow();
    }

    @Nested
    class Content {
        /** Guards against equal lists that appear different because the platform reorders them. */
        @Test
        void digestDependsOnContentOnly() {
            HostListCopy a = copy(engine(1), leaving(2));
            assertEquals(a.digest(), copy(leaving(2), engine(1)).digest());
            assertFalse(a.digest() == copy(engine(1), engine(2)).digest());
            assertSame(a, a.withContent(List.of(leaving(2), engine(1))));
        }

        /** Guards against a digest that diverges from the content after a series of changes. */
        @Test
        void changesLeadToTheSameCopyAsTheCompleteList() {
            HostListCopy old = copy(engine(1), engine(2), engine(3));
            HostListCopy complete = copy(engine(4), leaving(2), engine(3));
            HostListCopy.Changes changes = old.changesTo(complete);
            assertEquals(List.of(leaving(2), engine(4)), changes.changed());
            assertEquals(List.of(HostEntryKey.of(engine(1))), changes.removed());
            assertEquals(complete.entries(), old.apply(changes).entries());
            assertEquals(complete.digest(), old.apply(changes).digest());
        }

        /** Guards against new work for a target that one of two entries lists as leaving. */
        @Test
        void entryThatMayGetLessWorkTakesPrecedence() {
            assertEquals(List.of(leaving(1)), copy(leaving(1), engine(1)).entries());
            assertEquals(List.of(leaving(1)), copy(engine(1), leaving(1)).entries());
        }
    }

    @Nested
    class Age {
        /** Guards against a delayed old copy that brings a leaving target back into service. */
        @Test
        void lateCopyNeverReplacesANewerOne() {
            assertTrue(adopt(copy(leaving(1)), 5_000, 5_010));
            var tenSeconds = new HostListMessage.Age(Duration.ofSeconds(10), Duration.ZERO);
            // Sent at 4 s and received at 9 s: the platform may have returned the copy at any time
            // before.
            assertFalse(
                    state.adopt(
                            copy(engine(1)), ReadTime.ofPeer(4_000 * MS, 9_000 * MS, tenSeconds)));
            assertFalse(adopt(copy(engine(1)), 5_005, 5_020));
            assertTrue(adopt(copy(engine(1)), 5_011, 5_020));
        }

        /** Guards against an age that decreases when a copy passes through several daemons. */
        @Test
        void ageIncreasesFromDaemonToDaemon() {
            adopt(copy(engine(1)), 0, 10);
            ticker.advance(Duration.ofMillis(500));
            var age = state.respond(HostListMessage.Request.changesSince(Optional.empty())).age();
            ReadTime read = ReadTime.ofPeer(500 * MS, 510 * MS, age);
            assertTrue(read.earliest() <= 0 && read.latest() >= 10 * MS);
            assertEquals(Optional.of(Duration.ofMillis(500)), state.age());
        }
    }

    @Nested
    class Responses {
        /** Guards against complete lists in responses in the steady state. */
        @Test
        void containsOnlyTheChanges() {
            HostListCopy first = copy(engine(1), engine(2));
            HostListCopy second = copy(leaving(1));
            adopt(first, 0, 0);
            assertInstanceOf(HostListMessage.Unchanged.class, pull(first));
            adopt(second, 1, 1);
            var changed = assertInstanceOf(HostListMessage.Changed.class, pull(first));
            assertEquals(second.digest(), changed.digest());
            assertEquals(second.entries(), first.apply(changed.changes()).entries());
        }

        /** Guards against a peer with an unknown digest that never gets a list. */
        @Test
        void unknownDigestGetsPagesOfOneCopy() {
            HostListCopy complete = copyOf(2 * HostListState.MAX_PAGE_ENTRIES + 1);
            adopt(complete, 0, 0);
            var page = assertInstanceOf(HostListMessage.Page.class, pull(copy(engine(-1))));
            assertEquals(HostListState.MAX_PAGE_ENTRIES, page.entries().size());
            // The list changes between two pages; the next page must still be from the first copy.
            adopt(copy(engine(1)), 1, 1);
            int next = page.entries().size();
            var request = HostListMessage.Request.page(page.digest(), next);
            var second = (HostListMessage.Page) state.respond(request).content().orElseThrow();
            assertEquals(complete.entries().subList(next, 2 * next), second.entries());
        }

        /**
         * Guards against memory use that grows with each change, and against lost recent copies.
         */
        @Test
        void retainsReplacedCopiesForAMinute() {
            HostListCopy first = copy(engine(1));
            adopt(first, 0, 0);
            adopt(copy(engine(2)), 1, 1);
            ticker.advance(HostListState.REPLACED_COPY_RETENTION);
            adopt(copy(engine(3)), 2, 2);
            assertInstanceOf(HostListMessage.Changed.class, pull(first));
            ticker.advance(Duration.ofMillis(1));
            adopt(copy(engine(4)), 3, 3);
            assertInstanceOf(HostListMessage.Page.class, pull(first));
        }

        /** Guards against a difference that exceeds the maximum message size. */
        @Test
        void largeDifferenceIsSentAsPages() {
            HostListCopy small = copyOf(1);
            adopt(small, 0, 0);
            adopt(copyOf(HostListState.MAX_CHANGES + 2), 1, 1);
            assertInstanceOf(HostListMessage.Page.class, pull(small));
        }

        /** Guards against responses with a list although there is none. */
        @Test
        void withoutACopyThereIsNoContent() {
            Stream.of(
                            HostListMessage.Request.changesSince(Optional.empty()),
                            HostListMessage.Request.page(7, 0))
                    .forEach(r -> assertEquals(HostListMessage.Response.NONE, state.respond(r)));
        }
    }
}
