package org.godwithoist.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.report.http.BurnFormats;
import org.godwithoist.report.wire.TableBurnStore;
import org.godwithoist.store.Table;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BurnReportTest {
    private static final SeriesKey KEY =
            new SeriesKey(new WorkspaceId("w<1>"), Priority.INTERACTIVE);
    private static final Duration FAST = Duration.ofMillis(100);
    private static final Duration SLOW = Duration.ofSeconds(3);

    private final FakeTableStore tables = new FakeTableStore();
    private final TableBurnStore store = new TableBurnStore(tables);
    private final List<Member> members = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-01T12:00:00Z");
    private final BurnRecorder a = recorder("a");
    private final BurnRecorder b = recorder("b");
    private final BurnReporter reporter = new BurnReporter(store, this::level, () -> now);

    private ServiceLevel level(Priority p) {
        return new ServiceLevel(
                p, Duration.ofSeconds(1), Duration.ofMillis(41), Duration.ofSeconds(60), 0.99);
    }

    private BurnRecorder recorder(String name) {
        Member self =
                new Member(
                        new HostId(name),
                        new FailureDomainId("fd"),
                        new Endpoint("127.0.0.1", 1),
                        1);
        members.add(self);
        return new BurnRecorder(store, new Directory(self), this::level, () -> now);
    }

    private void advance(int minutes) {
        now = now.plus(Duration.ofMinutes(minutes));
    }

    private void recordResponses(BurnRecorder r, int good, int late) {
        for (int i = 0; i < good; i++) {
            r.recordResponse(KEY, FAST, Duration.ofMillis(10));
        }
        for (int i = 0; i < late; i++) {
            r.recordResponse(KEY, SLOW, Duration.ofMillis(10));
        }
    }

    private void runMinute(int good, int late) {
        recordResponses(a, good, late);
        advance(1);
        a.flushAndMerge();
    }

    private BurnReport.Line line() {
        return reporter.report().lines().getFirst();
    }

    @Nested
    class Counting {
        /** Guards against requests that are counted under the wrong outcome or error code. */
        @Test
        void separatesErrorCodesAndCallerErrors() {
            recordResponses(a, 6, 1);
            a.recordResponse(KEY, FAST, Duration.ofMillis(50));
            a.recordFailure(KEY, RequestException.notRun(ErrorCode.NO_CAPACITY, "full"));
            a.recordFailure(KEY, RequestException.notRun(ErrorCode.OVER_LIMIT, "over"));
            a.recordFailure(KEY, RequestException.unknown(ErrorCode.TARGET_FAILED, "lost"));
            a.recordTimeBetweenTokens(KEY, Duration.ofMillis(20));
            advance(1);
            a.flushAndMerge();
            SeriesCounts c = line().counts();
            assertEquals(6, c.good());
            assertEquals(2, c.late());
            assertEquals(4, c.bad());
            assertEquals(10, c.total());
            assertEquals(Map.of(ErrorCode.NO_CAPACITY, 1L, ErrorCode.OVER_LIMIT, 1L), c.refused());
            assertEquals(20.0, c.betweenTokens().getMaxValue() / 1_000.0, 0.3);
        }
    }

    @Nested
    class Storing {
        /** Guards against counts that are doubled when a flush is retried after a lost response. */
        @Test
        void retriedFlushCountsOnce() {
            recordResponses(a, 10, 0);
            advance(1);
            tables.faultNextCommit(StoreFault.ANSWER_LOST);
            a.flushAndMerge();
            a.flushAndMerge();
            assertEquals(10, line().counts().good());
        }

        /** Guards against counts that are lost during a store outage. */
        @Test
        void storeOutageDelaysCounts() {
            tables.setFault(StoreFault.DOWN);
            runMinute(10, 0);
            runMinute(5, 0);
            tables.setFault(StoreFault.NONE);
            a.flushAndMerge();
            assertEquals(15, line().counts().good());
        }

        /**
         * Guards against counts that are lost or doubled when the fleet's rows are merged, also
         * those of a daemon that writes late.
         */
        @Test
        void mergeKeepsTheSumAndRowsOfLateFlushes() {
            recordResponses(a, 10, 0);
            recordResponses(b, 7, 0);
            advance(1);
            a.flushAndMerge();
            advance(3);
            a.flushAndMerge();
            b.flushAndMerge();
            assertEquals(17, line().counts().good());
            store.merge(IntervalCounts.numberOf(now) - 4);
            assertEquals(1, tables.scan(Table.BURN, "").join().size());
            assertEquals(
                    17,
                    new BurnReporter(store, BurnReportTest.this::level, () -> now)
                            .report()
                            .lines()
                            .getFirst()
                            .counts()
                            .good());
        }

        /** Guards against percentiles that include latencies older than an hour. */
        @Test
        void latenciesCoverTheLastHour() {
            runMinute(0, 10);
            for (int i = 0; i < 60; i++) {
                runMinute(1, 0);
            }
            SeriesCounts c = line().counts();
            assertEquals(10, c.late());
            assertEquals(60, c.firstToken().getTotalCount());
            assertTrue(c.firstToken().getMaxValue() < 200_000);
        }

        /** Guards against unbounded growth of the table. */
        @Test
        void oldRowsAreDeleted() {
            for (int i = 0; i < 400; i++) {
                runMinute(1, 0);
            }
            assertTrue(tables.scan(Table.BURN, "").join().size() <= 365);
        }

        /** Guards against the loss of the last interval at shutdown. */
        @Test
        void closeWritesTheCurrentInterval() {
            recordResponses(b, 3, 0);
            b.close();
            advance(1);
            assertEquals(3, line().counts().good());
        }
    }

    @Nested
    class Alerts {
        private void runMinutes(int count, int good, int late) {
            for (int i = 0; i < count; i++) {
                runMinute(good, late);
            }
        }

        /** Guards against burn rates that differ from their definition. */
        @Test
        void ratesFollowTheirDefinition() {
            runMinutes(60, 98, 2);
            BurnReport.Line l = line();
            for (BurnWindow w : BurnWindow.values()) {
                assertEquals(2.0, l.rates().get(w), 1e-9);
            }
            assertEquals(-1.0, l.remainingBudget(), 1e-9);
            assertEquals(BurnAlert.NONE, l.alert());
        }

        /** Guards against a page that is late or missing. */
        @Test
        void fastBurnPages() {
            runMinutes(40, 100, 0);
            runMinutes(20, 40, 60);
            assertEquals(BurnAlert.PAGE, line().alert());
        }

        /** Guards against pages for short failures and pages that outlast the failure. */
        @Test
        void pageNeedsBothWindows() {
            runMinutes(120, 100, 0);
            runMinutes(5, 70, 30);
            assertEquals(30.0, line().rates().get(BurnWindow.FIVE_MINUTES), 1e-9);
            assertFalse(line().alert() == BurnAlert.PAGE);
            runMinutes(50, 30, 70);
            assertEquals(BurnAlert.PAGE, line().alert());
            runMinutes(6, 100, 0);
            assertFalse(line().alert() == BurnAlert.PAGE);
        }

        /** Guards against a slow burn without an alert. */
        @Test
        void slowBurnOpensATicket() {
            runMinutes(360, 92, 8);
            assertEquals(BurnAlert.TICKET, line().alert());
        }
    }

    @Nested
    class Formats {
        /** Guards against HTML that loads other files or contains unescaped names. */
        @Test
        void htmlIsSelfContainedAndEscaped() {
            runMinute(5, 5);
            String html = BurnFormats.html(reporter.report());
            assertTrue(html.contains("w&lt;1&gt;") && !html.contains("w<1>"));
            assertTrue(html.contains("<svg") && html.contains("<rect"));
            assertFalse(html.contains("http") || html.contains("src="));
        }

        /** Guards against a table that shows other numbers than the JSON format. */
        @Test
        void tableAndJsonShowTheSameNumbers() {
            runMinute(97, 3);
            BurnReport r = reporter.report();
            String json = BurnFormats.json(r);
            assertTrue(json.contains("\"bad\":3") && json.contains("\"total\":100"), json);
            String row = BurnTable.format(r).lines().skip(1).findFirst().orElseThrow();
            assertTrue(row.matches("w<1> +interactive +0.990 +100 +3 .*"), row);
        }
    }

    private final class Directory implements MemberDirectory {
        private final Member self;

        Directory(Member self) {
            this.self = self;
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return List.copyOf(members);
        }

        @Override
        public Optional<Member> find(HostId host) {
            return members.stream().filter(m -> m.host().equals(host)).findFirst();
        }

        @Override
        public boolean inContactWithAll() {
            return true;
        }

        @Override
        public boolean inContactWith(HostId host) {
            return true;
        }

        @Override
        public boolean isUnresponsive(HostId host) {
            return false;
        }
    }
}
