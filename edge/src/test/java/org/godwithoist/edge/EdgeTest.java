package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RunnerFault;
import org.godwithoist.standins.edge.RunnerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the complete path of a request over TCP connections, with stand-ins for the platform. */
final class EdgeTest {
    private static final String COMPLETE_STREAM =
            """
            id: 1
            data: piece 1

            id: 2
            data: piece 2

            id: 3
            data: piece 3

            id: 4
            data: piece 4

            id: 5
            data: piece 5

            id: 6
            data: piece 6

            """;

    /** Time after which a daemon must have noticed that the store responds again. */
    private static final Duration MAX_RECOVERY_DELAY = Duration.ofSeconds(3);

    private EdgeFixture fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new EdgeFixture(2, 2);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private RunnerStandin engineThatExecutedARequest() {
        return fleet.engines.stream()
                .filter(e -> !e.executedRequests().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    @Nested
    final class NormalOperation {
        /** Guards against responses that are altered or truncated. */
        @Test
        void responsesAreForwardedUnchanged() throws IOException {
            ClientStandin.Response stream = fleet.send("POST", ConfigText.NON_RESUMABLE);
            assertEquals(200, stream.status());
            assertEquals(COMPLETE_STREAM, stream.body());
            ClientStandin.Response booking = fleet.send("POST", ConfigText.BOOKING);
            assertTrue(booking.body().startsWith("answer of desk-"), booking.body());
            assertTrue(booking.field("X-Godwithoist-Runner-Signature").startsWith("signed-by"));
        }

        /** Guards against forwarding the caller's key or reserved header fields to a target. */
        @Test
        void targetReceivesTheWorkspaceButNotTheKey() throws IOException {
            Map<String, String> fields = fleet.validFields();
            fields.put("X-Godwithoist-Tenant", "somebody-else");
            fields.put("Kv-Fetch", "10.0.0.1:1");
            fields.put("X-Godwithoist-Request-Priority", "0");
            fields.put("X-Godwithoist-Pin-Ms", "100000");
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.NON_RESUMABLE + "x?q=1", fields, "text");
                client.receive();
            }
            RunnerStandin.ExecutedRequest run =
                    engineThatExecutedARequest().executedRequests().get(0);
            assertEquals("jeweller", run.fields().get("x-godwithoist-tenant"));
            assertEquals("1", run.fields().get("x-godwithoist-request-priority"));
            assertNull(run.fields().get("x-api-key"));
            assertNull(run.fields().get("x-godwithoist-pin-ms"));
            assertNotEquals("10.0.0.1:1", run.fields().get("kv-fetch"));
            assertEquals(ConfigText.NON_RESUMABLE + "x?q=1", run.uri());
            assertEquals("text", run.body());
            assertTrue(Long.parseLong(run.fields().get("x-godwithoist-deadline-ms")) <= 4000);
        }

        /** Guards against closing a caller's connection between two requests. */
        @Test
        void connectionIsReused() throws IOException {
            try (ClientStandin client = fleet.client()) {
                for (int i = 0; i < 5; i++) {
                    assertEquals(200, fleet.send(client, "GET", ConfigText.STATUS).status());
                    assertEquals(200, fleet.send(client, "POST", ConfigText.BOOKING).status());
                }
            }
        }

        /**
         * Guards against requests that cannot be found in the log by their id, and missing metrics.
         */
        @Test
        void requestAppearsInLogAndMetrics() throws IOException {
            fleet.send("POST", ConfigText.BOOKING);
            EdgeFixture.await(
                    "log event of call-1", () -> fleet.log().contains("\"id\":\"call-1\""));
            assertEquals(200, fleet.status(fleet.edge.metricsAddress(), "/metrics"));
        }
    }

    @Nested
    final class ClosedDaemon {
        /** Longer than all intervals at which a daemon asks the store. */
        private static final Duration QUIET_TIME = Duration.ofSeconds(4);

        /**
         * Guards against a closed daemon that goes on asking at the address of its store, which by
         * then may be that of another fleet's.
         */
        @Test
        void asksTheStoreNoMore() throws IOException {
            Edge other = fleet.startAnother();
            EdgeFixture.await(
                    "readiness of the other daemon",
                    () -> fleet.status(other.readinessAddress(), "/readiness") == 200);
            fleet.edge.close();
            other.close();
            // A request that has been sent may still arrive.
            Tasks.sleep(Duration.ofMillis(200));
            int before = fleet.store.requests();
            fleet.store.put("op", "config", ConfigText.of(2, 5000));
            Tasks.sleep(QUIET_TIME);
            assertEquals(before, fleet.store.requests());
        }
    }

    @Nested
    final class SeveralDaemons {
        /** Guards against daemons that do not discover each other through the store. */
        @Test
        void daemonsExchangeLoadReports() throws IOException {
            Edge other = fleet.startAnother();
            EdgeFixture.await(
                    "a target selected with a load report of the other daemon",
                    () -> {
                        sendOnce();
                        return fleet.log().contains("\"peers_told\":true");
                    });
            assertTrue(fleet.log().contains("\"event\":\"peer\",\"host\":\"edge-2\""));
            other.close();
        }

        private void sendOnce() {
            try {
                fleet.send("POST", ConfigText.NON_RESUMABLE);
            } catch (IOException e) {
                throw new AssertionError("the request failed", e);
            }
        }
    }

    @Nested
    final class Rejections {
        /**
         * Guards against running a request without a valid key, and against a response that leaves
         * open whether the rejected request ran.
         */
        @Test
        void unknownKeyAndRouteAreRejected() throws IOException {
            Map<String, String> fields = fleet.validFields();
            fields.put("X-Api-Key", "no-such-key");
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.BOOKING + "x", fields, "text");
                assertEquals(401, client.receive().status());
                client.send("POST", "/nowhere/x", fleet.validFields(), "text");
                assertEquals(404, client.receive().status());
            }
            assertEquals(0, fleet.runCount(fleet.desks));
        }

        /** Guards against a deployment that serves every request once its last key is revoked. */
        @Test
        void revokingTheLastKeyLeavesEveryKeyUnknown() throws IOException {
            String keys = "[\"" + ConfigText.API_KEY + "\"]";
            fleet.store.put("op", "config", ConfigText.of(2, 5000).replace(keys, "[]"));
            EdgeFixture.await(
                    "a refusal of the revoked key", () -> bookWith(fleet.validFields()) == 401);
            Map<String, String> withoutKey = fleet.validFields();
            withoutKey.remove("X-Api-Key");
            Map<String, String> unknownKey = fleet.validFields();
            unknownKey.put("X-Api-Key", "no-such-key");
            assertEquals(401, bookWith(withoutKey));
            assertEquals(401, bookWith(unknownKey));
        }

        private int bookWith(Map<String, String> fields) {
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.BOOKING + "x", fields, "text");
                return client.receive().status();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Guards against a head that is too large and reported as malformed. */
        @Test
        void tooLargeHeadIsRejectedAsSuch() throws IOException {
            Map<String, String> fields = fleet.validFields();
            fields.put("X-Filler", "x".repeat(20_000));
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.BOOKING + "x", fields, "text");
                assertEquals(431, client.receive().status());
            }
        }

        /** Guards against request smuggling with two conflicting body lengths. */
        @Test
        void requestWithTwoBodyLengthsIsRejectedAndTheConnectionClosed() throws IOException {
            try (ClientStandin client = fleet.client()) {
                client.sendRaw(
                        String.join(
                                "\r\n",
                                "POST /book/x HTTP/1.1",
                                "Host: shop.example",
                                "X-Godwithoist-Attempt-Id: a",
                                "X-Api-Key: key-of-jeweller",
                                "Content-Length: 4",
                                "Transfer-Encoding: chunked",
                                "",
                                "0",
                                "",
                                "POST /book/y HTTP/1.1",
                                "Host: shop.example",
                                "",
                                ""));
                assertEquals(400, client.receive().status());
                assertThrows(IOException.class, client::receive);
            }
            assertEquals(0, fleet.runCount(fleet.desks));
        }

        /** Guards against reporting "not run" for a request that a target has run. */
        @Test
        void lostResponseOfABookingIsNotRetried() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.LOSE_ANSWER));
            assertEquals(502, fleet.send("POST", ConfigText.BOOKING).status());
            assertEquals(1, fleet.runCount(fleet.desks));
        }

        /** Guards against a wrong response to a request that all targets reject. */
        @Test
        void allTargetsReject() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.SHED));
            ClientStandin.Response response = fleet.send("POST", ConfigText.BOOKING);
            assertEquals(503, response.status());
            assertFalse(response.field("Retry-After").isEmpty());
            assertEquals(0, fleet.runCount(fleet.desks));
        }
    }

    @Nested
    final class FailingTargets {
        /** Guards against a failed request although another target could serve it. */
        @Test
        void rejectedRequestIsSentToTheOtherTarget() throws IOException {
            fleet.desks.get(0).setFault(RunnerFault.SHED);
            for (int i = 0; i < 4; i++) {
                assertEquals(200, fleet.send("POST", ConfigText.BOOKING).status());
            }
            assertEquals(4, fleet.desks.get(1).executedRequests().size());
        }

        /** Guards against returning a target's failure of an idempotent request to the caller. */
        @Test
        void failedIdempotentRequestIsRetried() throws IOException {
            fleet.desks.get(0).setFault(RunnerFault.FAIL);
            for (int i = 0; i < 3; i++) {
                ClientStandin.Response response = fleet.send("GET", ConfigText.STATUS);
                assertEquals("answer of desk-1", response.body());
            }
        }

        /** Guards against a forwarded failure with another status or without its body. */
        @Test
        void failureOfABookingIsForwardedWithoutRetry() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.FAIL));
            ClientStandin.Response response = fleet.send("POST", ConfigText.BOOKING);
            assertEquals(500, response.status());
            assertEquals("failed", response.body());
            assertEquals(1, fleet.runCount(fleet.desks));
        }

        /** Guards against missing, repeated or truncated events in a resumed stream. */
        @Test
        void brokenStreamIsResumedAtTheOtherEngine() throws IOException {
            fleet.send("POST", ConfigText.RESUMABLE);
            RunnerStandin first = engineThatExecutedARequest();
            first.setFault(RunnerFault.BREAK_MIDWAY);
            assertEquals(COMPLETE_STREAM, fleet.send("POST", ConfigText.RESUMABLE).body());
            RunnerStandin second =
                    fleet.engines.stream().filter(e -> e != first).findFirst().orElseThrow();
            assertEquals("1", second.executedRequests().get(0).fields().get("last-event-id"));
        }

        /** Guards against a truncated stream that the caller takes for complete. */
        @Test
        void brokenStreamThatIsNotResumableIsAborted() throws IOException {
            fleet.engines.forEach(e -> e.setFault(RunnerFault.BREAK_MIDWAY));
            assertThrows(IOException.class, () -> fleet.send("POST", ConfigText.NON_RESUMABLE));
            assertEquals(1, fleet.runCount(fleet.engines));
        }

        /** Guards against forwarding the response to another request. */
        @Test
        void responseToAnotherRequestIsDiscarded() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.STRAY_ANSWER));
            ClientStandin.Response response = fleet.send("POST", ConfigText.BOOKING);
            assertTrue(response.body().startsWith("answer of desk-"), response.body());
        }

        /** Guards against reading extra bytes after a response as the next response. */
        @Test
        void bytesAfterAResponseAreDiscarded() throws IOException {
            bookWhileTargetsSend(RunnerFault.EXTRA_BYTES);
        }

        /** Guards against forwarding a duplicate response to the next caller. */
        @Test
        void duplicateResponseIsDiscarded() throws IOException {
            bookWhileTargetsSend(RunnerFault.SECOND_ANSWER);
        }

        private void bookWhileTargetsSend(RunnerFault fault) throws IOException {
            fleet.desks.forEach(d -> d.setFault(fault));
            try (ClientStandin client = fleet.client()) {
                for (int i = 0; i < 6; i++) {
                    ClientStandin.Response response =
                            fleet.send(client, "POST", ConfigText.BOOKING);
                    assertTrue(response.body().startsWith("answer of desk-"), response.body());
                    Tasks.sleep(Duration.ofMillis(20));
                }
            }
        }

        /**
         * Guards against a connection that is reused, in place of closed, while its target still
         * works on a request: a response to another request was taken for the end of the exchange.
         */
        @Test
        void responseToAnotherRequestDoesNotEndTheExchange() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.STRAY_ANSWER_ONLY));
            Map<String, String> fields = fleet.validFields();
            fields.put("X-Godwithoist-Deadline-Ms", "300");
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.BOOKING + "x", fields, "text");
                assertEquals(504, client.receive().status());
            }
            // Shorter than the time for which an idle connection is kept.
            Tasks.sleep(Duration.ofMillis(250));
            int cancelled = fleet.desks.stream().mapToInt(RunnerStandin::cancelledRequests).sum();
            assertEquals(1, cancelled);
        }

        /** Guards against forwarding a success without a target's signature. */
        @Test
        void unsignedResponseIsNotForwarded() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.UNSIGNED));
            assertEquals(502, fleet.send("POST", ConfigText.BOOKING).status());
        }

        /** Guards against a caller that waits for an unresponsive target. */
        @Test
        void requestAtAnUnresponsiveTargetIsRetried() throws IOException {
            fleet.desks.get(0).setFault(RunnerFault.HANG);
            for (int i = 0; i < 3; i++) {
                assertEquals(200, fleet.send("GET", ConfigText.STATUS).status());
            }
        }

        /** Guards against a request that exceeds the timeout of its route. */
        @Test
        void bookingAtAnUnresponsiveTargetTimesOut() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.HANG));
            long start = System.nanoTime();
            assertEquals(504, fleet.send("POST", ConfigText.BOOKING).status());
            Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
            assertTrue(elapsed.compareTo(Duration.ofMillis(3500)) < 0, elapsed.toString());
        }
    }

    /** Scenario: clients disconnect before their deadline ({@code give_up}). */
    @Nested
    final class DisconnectedCallers {
        /** Guards against targets that keep working for callers that have disconnected. */
        @Test
        void disconnectOfTheCallerCancelsTheAttempt() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.HANG));
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.BOOKING + "x", fleet.validFields(), "text");
                EdgeFixture.await("request at a target", () -> fleet.runCount(fleet.desks) == 1);
            }
            long closed = System.nanoTime();
            EdgeFixture.await(
                    "cancellation at the target",
                    () ->
                            fleet.desks.stream().mapToInt(RunnerStandin::cancelledRequests).sum()
                                    == 1);
            Duration elapsed = Duration.ofNanos(System.nanoTime() - closed);
            assertTrue(elapsed.compareTo(Duration.ofMillis(500)) < 0, elapsed.toString());
            EdgeFixture.await(
                    "log event with end LEFT", () -> fleet.log().contains("\"end\":\"LEFT\""));
        }
    }

    @Nested
    final class StoreChanges {
        /** Guards against requests to a draining target. */
        @Test
        void drainingTargetReceivesNoRequests() throws IOException {
            RunnerStandin draining = fleet.desks.get(0);
            fleet.store.put("servers", draining.id(), draining.entry("zone-a", "draining"));
            fleet.store.put("op", "config", ConfigText.of(2, 5000));
            EdgeFixture.await("catalog 2", () -> fleet.log().contains("\"version\":2"));
            Tasks.sleep(Duration.ofMillis(100));
            for (int i = 0; i < 6; i++) {
                fleet.send("POST", ConfigText.BOOKING);
            }
            assertEquals(0, draining.executedRequests().size());
        }

        /** Guards against requests to a failure domain that is out of service. */
        @Test
        void evacuatedDomainReceivesNoRequestsUntilItIsBackInService() throws IOException {
            fleet.store.put("op", "evacuate/zone-a", "{}");
            EdgeFixture.await("rejection with status 503", () -> status(ConfigText.BOOKING) == 503);
            int before = fleet.runCount(fleet.desks);
            assertEquals(503, status(ConfigText.BOOKING));
            assertEquals(before, fleet.runCount(fleet.desks));
            fleet.store.delete("op", "evacuate/zone-a");
            EdgeFixture.await("response with status 200", () -> status(ConfigText.BOOKING) == 200);
        }

        /** Guards against missing a change because the store dropped its history. */
        @Test
        void changesAreReadAfterTheHistoryWasDropped() throws IOException {
            fleet.store.setDown(true);
            fleet.store.put("op", "config", ConfigText.of(9, 5000));
            fleet.store.compactHistory();
            fleet.store.setDown(false);
            EdgeFixture.await("catalog 9", () -> fleet.log().contains("\"version\":9"));
        }

        /**
         * Guards against changes that are missed after the store was unresponsive, because the
         * requests for them were lost unnoticed. Seen on the standard days trouble-3 of both sites
         * when changes were not read immediately: CONFIG on bench-ops, DRAIN on rybnikov-humri.
         */
        @Test
        void lostRequestsAreNoticedSoonAfterTheStoreRecovers() {
            // A request that arrives after the store has recovered would not be lost.
            EdgeFixture.await("requests for changes", () -> fleet.store.waitingFeeds() == 2);
            fleet.store.setUnresponsive(true);
            fleet.store.put("op", "config", ConfigText.of(9, 5000));
            fleet.store.delete("servers", fleet.engines.get(0).id());
            fleet.store.setUnresponsive(false);
            long recovered = System.nanoTime();
            EdgeFixture.await("catalog 9", () -> fleet.log().contains("\"version\":9"));
            EdgeFixture.await(
                    "targets", () -> fleet.log().contains("\"store_back\",\"table\":\"targets\""));
            Duration elapsed = Duration.ofNanos(System.nanoTime() - recovered);
            assertTrue(elapsed.compareTo(MAX_RECOVERY_DELAY) < 0, "took " + elapsed);
        }

        /** Guards against a daemon that stops serving because the store is unavailable. */
        @Test
        void requestsAreServedWhileTheStoreIsUnavailable() throws IOException {
            fleet.store.setDown(true);
            EdgeFixture.await("log event store_away", () -> fleet.log().contains("store_away"));
            assertEquals(200, status(ConfigText.BOOKING));
            assertEquals(200, fleet.status(fleet.edge.readinessAddress(), "/readiness"));
        }

        /** Guards against one malformed row that prevents reading the other rows. */
        @Test
        void malformedRowIsSkippedAndLogged() throws IOException {
            fleet.store.put("servers", "stranger", "{\"service\":5,\"address\":\"nowhere\"}");
            EdgeFixture.await("log event row_left_out", () -> fleet.log().contains("row_left_out"));
            assertEquals(200, status(ConfigText.BOOKING));
        }

        private int status(String prefix) {
            try {
                return fleet.send("POST", prefix).status();
            } catch (IOException e) {
                return 0;
            }
        }
    }

    /** Scenario: all hosts lose power at the same time ({@code power_off_all}). */
    @Nested
    final class StartUnderLoad {
        /** Guards against rejecting requests before a new daemon has read its targets. */
        @Test
        void requestsWaitForTheCatalogAndTheTargets() throws Exception {
            fleet.store.setDown(true);
            try (Edge second = fleet.startAnother();
                    ClientStandin client = new ClientStandin(second.callerAddress())) {
                client.send("POST", ConfigText.BOOKING + "x", fleet.validFields(), "text");
                Tasks.sleep(Duration.ofMillis(100));
                fleet.store.setDown(false);
                assertEquals(200, client.receive().status());
            }
        }

        /** Guards against a daemon that stays unready if the catalog is written after its start. */
        @Test
        void requestsAreServedOnceTheCatalogIsWritten() throws Exception {
            fleet.store.delete("op", "config");
            try (Edge second = fleet.startAnother()) {
                Tasks.sleep(Duration.ofMillis(100));
                assertEquals(503, fleet.status(second.readinessAddress(), "/readiness"));
                fleet.store.put("op", "config", ConfigText.of(3, 5000));
                EdgeFixture.await(
                        "readiness",
                        () -> fleet.status(second.readinessAddress(), "/readiness") == 200);
                try (ClientStandin client = new ClientStandin(second.callerAddress())) {
                    client.send("POST", ConfigText.BOOKING + "x", fleet.validFields(), "text");
                    assertEquals(200, client.receive().status());
                }
            }
        }

        /** Guards against requests that wait indefinitely in a daemon that cannot read targets. */
        @Test
        void requestsAreRejectedWhileTheStoreStaysUnavailable() throws Exception {
            fleet.store.setDown(true);
            try (Edge second = fleet.startAnother();
                    ClientStandin client = new ClientStandin(second.callerAddress())) {
                client.send("POST", ConfigText.BOOKING + "x", fleet.validFields(), "text");
                ClientStandin.Response response = client.receive();
                assertEquals(503, response.status());
                assertFalse(response.field("Retry-After").isEmpty());
            }
        }
    }

    @Nested
    final class ChangedSettings {
        /** Guards against settings that take effect only after a restart. */
        @Test
        void changedFileIsReloadedWithoutASignal() throws IOException {
            Tasks.sleep(Duration.ofMillis(20));
            Files.writeString(
                    fleet.settings,
                    EdgeSettingsText.of("edge-1", 0, 0, fleet.store.endpoint())
                            + "bounds.retryBudgetExtra=80\n");
            EdgeFixture.await(
                    "settings",
                    () -> fleet.log().contains("\"settings_read\",\"changed\":\"true\""));
        }

        /** Guards against a daemon that applies part of an invalid file. */
        @Test
        void invalidFileChangesNothing() throws IOException {
            Tasks.sleep(Duration.ofMillis(20));
            Files.writeString(fleet.settings, "nodeName=edge-1\nno value here\n");
            EdgeFixture.await(
                    "log event settings_refused", () -> fleet.log().contains("settings_refused"));
            assertTrue(fleet.log().contains("line 2 is not of the form name=value"), fleet.log());
            assertEquals(200, fleet.send("POST", ConfigText.BOOKING).status());
        }
    }

    @Nested
    final class Shutdown {
        /** Guards against a shutdown that truncates responses or leaves the daemon ready. */
        @Test
        void requestsInProgressCompleteAndConnectionsAreClosed() throws Exception {
            try (ClientStandin client = fleet.client()) {
                assertEquals(200, fleet.send(client, "POST", ConfigText.BOOKING).status());
                Thread stop = Thread.ofVirtual().start(fleet.edge::stop);
                EdgeFixture.await(
                        "not ready",
                        () -> fleet.status(fleet.edge.readinessAddress(), "/readiness") == 503);
                ClientStandin.Response last = fleet.send(client, "POST", ConfigText.NON_RESUMABLE);
                assertEquals(COMPLETE_STREAM, last.body());
                assertEquals("close", last.field("Connection"));
                assertTrue(stop.join(Duration.ofSeconds(8)));
            }
        }

        /**
         * Guards against a caller that reuses an idle connection late in the shutdown and whose
         * retry is then rejected.
         */
        @Test
        void idleConnectionsAreClosedBeforeStreamsAreRejected() throws Exception {
            try (ClientStandin idle = fleet.client();
                    ClientStandin late = fleet.client()) {
                assertEquals(200, fleet.send(idle, "POST", ConfigText.BOOKING).status());
                Thread stop = Thread.ofVirtual().start(fleet.edge::stop);
                EdgeFixture.await(
                        "log event idle_closed", () -> fleet.log().contains("idle_closed"));
                assertThrows(
                        IOException.class,
                        () -> fleet.send(idle, "POST", ConfigText.NON_RESUMABLE));
                assertThrows(IOException.class, late::receive);
                Tasks.sleep(Duration.ofSeconds(1));
                ClientStandin.Response rejected = fleet.send("POST", ConfigText.NON_RESUMABLE);
                assertEquals(503, rejected.status());
                assertEquals("0.00", rejected.field("Retry-After"));
                assertTrue(stop.join(Duration.ofSeconds(8)));
            }
        }
    }

    @Nested
    final class EndOfShutdown {
        /** Starts a shutdown with a grace period of the given number of seconds. */
        private Thread stop(int graceSeconds) throws IOException {
            setGracePeriod(graceSeconds);
            return startStop();
        }

        private Thread startStop() {
            return Thread.ofVirtual().start(fleet.edge::stop);
        }

        private void setGracePeriod(int graceSeconds) throws IOException {
            String text = Files.readString(fleet.settings);
            Tasks.sleep(Duration.ofMillis(20));
            Files.writeString(fleet.settings, text.replace("graceS=8", "graceS=" + graceSeconds));
            EdgeFixture.await(
                    "settings",
                    () -> fleet.log().contains("\"settings_read\",\"changed\":\"true\""));
        }

        private ClientStandin.Response sendWithin(String method, String prefix, int millis)
                throws IOException {
            Map<String, String> fields = fleet.validFields();
            fields.put("X-Godwithoist-Deadline-Ms", Integer.toString(millis));
            try (ClientStandin client = fleet.client()) {
                client.send(method, prefix + "x", fields, method.equals("POST") ? "text" : "");
                return client.receive();
            }
        }

        /** Guards against a late booking that is passed on and then cut off by the exit. */
        @Test
        void requestsThatCouldOutliveTheDaemonAreRefusedAsNotRun() throws Exception {
            Thread stop = stop(5);
            Tasks.sleep(Duration.ofMillis(3_050));
            ClientStandin.Response booking = sendWithin("POST", ConfigText.BOOKING, 1500);
            assertEquals(503, booking.status());
            assertEquals("0.00", booking.field("Retry-After"));
            assertEquals(0, fleet.runCount(fleet.desks));
            assertEquals(200, sendWithin("GET", ConfigText.STATUS, 150).status());
            assertTrue(stop.join(Duration.ofSeconds(3)));
        }

        /**
         * Guards against a stream that is taken although it is likely to be cut off by the exit.
         */
        @Test
        void streamsThatMayOutliveTheDaemonAreRefusedAsNotRun() throws Exception {
            fleet.engines.forEach(e -> e.setFault(RunnerFault.SLOW_EVENTS));
            assertEquals(200, sendWithin("POST", ConfigText.NON_RESUMABLE, 4000).status());
            assertEquals(1, fleet.runCount(fleet.engines));
            Thread stop = stop(3);
            EdgeFixture.await("stop", () -> fleet.log().contains("\"stop\""));
            ClientStandin.Response stream = sendWithin("POST", ConfigText.NON_RESUMABLE, 4000);
            assertEquals(503, stream.status());
            assertEquals("0.00", stream.field("Retry-After"));
            assertEquals(1, fleet.runCount(fleet.engines));
            assertTrue(stop.join(Duration.ofSeconds(4)));
        }

        /** Guards against refusing the streams that end long before the daemon. */
        @Test
        void shortStreamsAreServedWhileTheDaemonDrains() throws Exception {
            assertEquals(200, sendWithin("POST", ConfigText.NON_RESUMABLE, 4000).status());
            Thread stop = stop(3);
            EdgeFixture.await("stop", () -> fleet.log().contains("\"stop\""));
            assertEquals(200, sendWithin("POST", ConfigText.NON_RESUMABLE, 4000).status());
            assertTrue(stop.join(Duration.ofSeconds(4)));
        }

        /** Guards against a caller that gets no answer when the daemon ends before the target. */
        @Test
        void callersOfSilentTargetsGetAnAnswerBeforeTheExit() throws Exception {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.HANG));
            Thread stop = stop(2);
            assertEquals(502, sendWithin("POST", ConfigText.BOOKING, 4000).status());
            assertTrue(stop.join(Duration.ofSeconds(1)));
        }

        /**
         * Guards against a caller that gets no answer because the response of its target has begun,
         * although nothing of it has been forwarded.
         */
        @Test
        void callersOfTargetsThatSendOnlyAHeadGetAnAnswerBeforeTheExit() throws Exception {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.HEAD_ONLY));
            Thread stop = stop(2);
            assertEquals(502, sendWithin("POST", ConfigText.BOOKING, 4000).status());
            assertTrue(stop.join(Duration.ofSeconds(1)));
        }

        /**
         * Guards against a target that completes a stream while the virtual machine exits and
         * forwards nothing.
         */
        @Test
        void streamsThatGoOnAreEndedBeforeTheExit() throws Exception {
            fleet.engines.forEach(e -> e.setFault(RunnerFault.DRIBBLE));
            try (ClientStandin client = fleet.client()) {
                client.send("POST", ConfigText.NON_RESUMABLE + "x", fleet.validFields(), "text");
                EdgeFixture.await("the run", () -> fleet.runCount(fleet.engines) == 1);
                Thread stop = stop(2);
                assertTrue(stop.join(Duration.ofSeconds(3)));
                assertTrue(fleet.log().contains("\"end\":\"BROKEN\""), fleet.log());
                assertThrows(IOException.class, client::receive);
            }
        }

        /** Guards against an exit as idle while the body of a request is still being read. */
        @Test
        void requestThatIsBeingReadCountsAsInProgress() throws Exception {
            // The daemon gives a request 3 s from its first byte to the end of its head.
            setGracePeriod(1);
            try (ClientStandin client = fleet.client()) {
                client.sendRaw(
                        "POST " + ConfigText.BOOKING + "x HTTP/1.1\r\nContent-Length: 9\r\n");
                EdgeFixture.await("first bytes", () -> fleet.edge.requestsInProgress() == 1);
                Thread stop = startStop();
                EdgeFixture.await(
                        "the request in progress",
                        () -> fleet.log().contains("\"stop\",\"in_progress\":1"));
                assertTrue(stop.join(Duration.ofSeconds(2)));
            }
        }
    }

    @Nested
    final class TargetsThatWantNoRequests {
        /**
         * Guards against new requests to a target that states in a response that it is leaving,
         * while its entry in the store still says that it is ready.
         */
        @Test
        void leavingTargetGetsNoFurtherRequest() throws IOException {
            RunnerStandin leaving = fleet.desks.get(0);
            leaving.setFault(RunnerFault.LEAVING);
            while (leaving.executedRequests().isEmpty()) {
                assertEquals(200, fleet.send("POST", ConfigText.BOOKING).status());
            }
            fleet.register(leaving);
            for (int i = 0; i < 10; i++) {
                assertEquals(200, fleet.send("POST", ConfigText.BOOKING).status());
            }
            assertEquals(1, leaving.executedRequests().size());
            assertTrue(fleet.log().contains("\"event\":\"target_leaving\",\"target\":\"desk-0\""));
        }

        /** Guards against requests to a target within the pause that it has asked for. */
        @Test
        void targetThatAsksForAPauseIsLeftAlone() throws IOException {
            RunnerStandin busy = fleet.desks.get(0);
            busy.setFault(RunnerFault.SHED_WITH_PAUSE);
            for (int i = 0; i < 10; i++) {
                assertEquals(200, fleet.send("POST", ConfigText.BOOKING).status());
            }
            assertTrue(busy.rejectedRequests() <= 1, "rejected: " + busy.rejectedRequests());
        }

        /**
         * Guards against callers that are held, and a retry budget that is used up, although all
         * targets have asked for a pause.
         */
        @Test
        void requestIsRefusedAtOnceWhileAllTargetsPause() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.SHED_WITH_PAUSE));
            for (int i = 0; i < 10; i++) {
                ClientStandin.Response response = fleet.send("POST", ConfigText.BOOKING);
                assertEquals(503, response.status());
                double seconds = Double.parseDouble(response.field("Retry-After"));
                assertTrue(seconds > 1 && seconds < 3, "Retry-After: " + seconds);
            }
            assertTrue(fleet.desks.stream().allMatch(d -> d.rejectedRequests() <= 1));
            assertTrue(fleet.log().contains("\"refusal\":\"TARGETS_PAUSED\""));
        }
    }

    /** Scenario: targets are slow, or stall in the middle of a response. */
    @Nested
    final class SlowStreams {
        /** Guards against a stalled stream that goes on because of a byte now and then. */
        @Test
        void streamWithoutCompleteEventsIsResumedElsewhere() throws IOException {
            fleet.send("POST", ConfigText.RESUMABLE);
            engineThatExecutedARequest().setFault(RunnerFault.DRIBBLE);
            assertEquals(COMPLETE_STREAM, fleet.send("POST", ConfigText.RESUMABLE).body());
        }

        /** Guards against a slow but sound stream that is cut or started elsewhere. */
        @Test
        void slowStreamIsNotCut() throws IOException {
            fleet.engines.forEach(e -> e.setFault(RunnerFault.SLOW_EVENTS));
            assertEquals(COMPLETE_STREAM, fleet.send("POST", ConfigText.RESUMABLE).body());
            assertEquals(COMPLETE_STREAM, fleet.send("POST", ConfigText.NON_RESUMABLE).body());
            assertEquals(2, fleet.runCount(fleet.engines));
        }
    }

    /** Scenario: a target in trouble sends bytes without end, until its connection is closed. */
    @Nested
    final class TargetsThatDoNotRead {
        private static final int BODY_BYTES = 9_000_000;

        /** Guards against a request that is never answered while its body is being written. */
        @Test
        void requestIsAnsweredAtItsDeadline() throws IOException {
            try (ServerSocket target = new ServerSocket();
                    EdgeFixture other = new EdgeFixture(1, 0);
                    ClientStandin client = other.client()) {
                target.setReceiveBufferSize(4096);
                target.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                String limit = "\"maxBodyBytes\":";
                other.store.put(
                        "op",
                        "config",
                        ConfigText.of(2, 5000).replace(limit + "100000", limit + BODY_BYTES));
                RunnerStandin desk = new RunnerStandin("desk-9", "desk", 0, Duration.ZERO);
                String entry = desk.entry("zone-a", "ready");
                desk.close();
                String port = ":" + desk.endpoint().port() + "\"";
                other.store.put(
                        "servers",
                        "desk-9",
                        entry.replace(port, ":" + target.getLocalPort() + "\""));
                EdgeFixture.await("catalog", () -> other.log().contains("\"version\":2"));
                Tasks.sleep(Duration.ofMillis(300));
                Map<String, String> fields = other.validFields();
                fields.put("X-Godwithoist-Deadline-Ms", "700");
                client.send("POST", ConfigText.BOOKING + "x", fields, "x".repeat(BODY_BYTES));
                assertEquals(504, client.receive().status());
            }
        }
    }

    @Nested
    final class EndlessResponses {
        private static final Duration TEST_TIMEOUT = Duration.ofSeconds(8);

        /** Guards against a task and memory that are held for as long as the target sends. */
        @Test
        void endlessHeadIsAbandonedAndTheRequestRetried() throws IOException {
            fleet.desks.get(0).setFault(RunnerFault.ENDLESS_HEAD);
            for (int i = 0; i < 3; i++) {
                assertEquals("answer of desk-1", fleet.send("GET", ConfigText.STATUS).body());
            }
        }

        /** Guards against an event that uses up the memory of the daemon. */
        @Test
        void endlessEventIsAbandonedAndTheStreamResumed() throws IOException {
            fleet.send("POST", ConfigText.RESUMABLE);
            engineThatExecutedARequest().setFault(RunnerFault.ENDLESS_EVENT);
            assertEquals(COMPLETE_STREAM, fleet.send("POST", ConfigText.RESUMABLE).body());
        }

        /** Guards against a response that is forwarded without end, or taken for complete. */
        @Test
        void endlessBodyEndsAtTheDeadline() {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.ENDLESS_BODY));
            Map<String, String> fields = fleet.validFields();
            fields.put("X-Godwithoist-Deadline-Ms", "500");
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        try (ClientStandin client = fleet.client()) {
                            client.send("GET", ConfigText.STATUS + "x", fields, "");
                            assertThrows(IOException.class, client::receive);
                        }
                    });
        }
    }

    /** Scenario: many callers send bodies without a length at the same time. */
    @Nested
    final class ManyChunkedBodies {
        private static final int CALLERS = 140;
        private static final int CHUNK_BYTES = 95_000;

        /** Memory for the bodies of all requests, in bytes. */
        private static final int BODY_MEMORY_BYTES = 12 << 20;

        private static final int MIN_ENDED = CALLERS - BODY_MEMORY_BYTES / CHUNK_BYTES;

        /** Guards against bodies that exceed the memory of the daemon before they are complete. */
        @Test
        void bodiesBeyondTheMemoryLimitAreRefusedWhileTheyArrive() throws IOException {
            List<ClientStandin> clients = new ArrayList<>();
            try {
                for (int i = 0; i < CALLERS; i++) {
                    ClientStandin client = fleet.client();
                    clients.add(client);
                    client.sendRaw(startOfChunkedRequest());
                }
                AtomicInteger refused = new AtomicInteger();
                AtomicInteger closed = new AtomicInteger();
                clients.forEach(c -> Tasks.start("caller", () -> countEnd(c, refused, closed)));
                EdgeFixture.await("ends", () -> refused.get() + closed.get() >= MIN_ENDED);
                assertEquals(200, fleet.send("POST", ConfigText.BOOKING).status());
            } finally {
                clients.forEach(ClientStandin::close);
            }
        }

        /**
         * Which of the bodies that arrive at the same time find no memory is not determined. Those
         * that stop for longer than others are closed to make room before one is refused.
         */
        private void countEnd(ClientStandin client, AtomicInteger refused, AtomicInteger closed) {
            try {
                if (client.receive().status() == 503) {
                    refused.incrementAndGet();
                }
            } catch (IOException e) {
                closed.incrementAndGet();
            }
        }

        private String startOfChunkedRequest() {
            StringBuilder text = new StringBuilder("POST " + ConfigText.BOOKING + "x HTTP/1.1\r\n");
            fleet.validFields().forEach((k, v) -> text.append(k + ": " + v + "\r\n"));
            text.append("Transfer-Encoding: chunked\r\n\r\n");
            text.append(Integer.toHexString(CHUNK_BYTES)).append("\r\n");
            return text.append("x".repeat(CHUNK_BYTES)).append("\r\n").toString();
        }
    }
}
