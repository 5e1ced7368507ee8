package org.godwithoist.membership.http;

import static org.godwithoist.membership.TestDaemon.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.task.Await;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MembershipConfig;
import org.godwithoist.membership.Order;
import org.godwithoist.membership.OrderStamp;
import org.godwithoist.membership.OrderState;
import org.godwithoist.membership.OrderSubject;
import org.godwithoist.membership.TestDaemon;
import org.godwithoist.store.fake.FakeHostList;
import org.godwithoist.store.fake.FakeTableStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipRoutesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String OUT = "{\"subject\":\"domain:a\",\"state\":\"out\"}";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final FakeHostList hosts = new FakeHostList();
    private TestDaemon daemon;
    private int port;

    @BeforeEach
    void start() {
        List<Member> members = TestDaemon.members(2);
        // The second member is listed but is not running.
        hosts.set(members.stream().map(TestDaemon::hostListEntry).toList());
        var config = MembershipConfig.DEFAULT;
        var store = new FakeTableStore();
        daemon = new TestDaemon(members.getFirst(), List.of(), config, hosts, store).start();
        Router router = Router.router(vertx);
        var traffic = daemon.transport().traffic();
        new MembershipRoutes(daemon.membership(), traffic, this::authenticate).mount(router);
        var server = vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1");
        port = Await.result(server, TIMEOUT).actualPort();
        await(2_000, () -> daemon.membership().members().members().size() == 2);
    }

    private void authenticate(RoutingContext c) {
        String name = c.request().getHeader("X-Test-Operator");
        if (name == null) {
            c.response().setStatusCode(401).end();
            return;
        }
        c.put(MembershipRoutes.OPERATOR, name).next();
    }

    @AfterEach
    void stop() {
        daemon.close();
        client.close();
        Await.result(vertx.close(), TIMEOUT);
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    }

    private HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder order(String body) {
        return request("/v1/orders")
                .header("X-Test-Operator", "anna")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private JsonObject get(String path) throws IOException, InterruptedException {
        var response = send(request(path).header("X-Test-Operator", "anna"));
        assertEquals(200, response.statusCode());
        return new JsonObject(response.body());
    }

    @Nested
    class IssuingOrders {
        /** Guards against a response that omits a member without the order. */
        @Test
        void responseListsMembersWithoutTheOrder() throws Exception {
            var response = send(order(OUT));
            assertEquals(200, response.statusCode());
            JsonObject body = new JsonObject(response.body());
            assertEquals("domain:a", body.getString("subject"));
            assertEquals("out", body.getString("state"));
            assertEquals("anna", body.getString("operator"));
            assertEquals(new JsonArray().add("h1"), body.getJsonArray("unacknowledged"));
            JsonObject orders = get("/v1/orders");
            assertEquals(1, orders.getJsonArray("orders").size());
            assertEquals(new JsonArray().add("h1"), orders.getJsonArray("differing_members"));
        }

        /**
         * Guards against an operator whose order lost a race and who is told that it is in force.
         */
        @Test
        void supersededOrderIsAConflict() throws Exception {
            var pending =
                    client.sendAsync(order(OUT).build(), HttpResponse.BodyHandlers.ofString());
            var orders = daemon.membership().orders();
            OrderSubject subject = OrderSubject.parse("domain:a");
            await(1_000, () -> orders.find(subject).isPresent());
            var stamp = new OrderStamp(1, new HostId("z"));
            var bert = new OperatorName("bert");
            orders.merge(List.of(new Order(subject, OrderState.IN, stamp, bert)));
            var response = pending.join();
            assertEquals(409, response.statusCode());
            JsonObject body = new JsonObject(response.body());
            assertEquals("bert", body.getJsonObject("superseded_by").getString("operator"));
            assertEquals("conflict", body.getJsonObject("error").getString("code"));
        }

        /** Guards against invalid requests that become orders or internal errors. */
        @Test
        void invalidRequestsAreRejected() throws Exception {
            for (String body :
                    List.of(
                            "",
                            "no json",
                            "[]",
                            "{}",
                            "{\"subject\":1,\"state\":\"out\"}",
                            "{\"subject\":\"rack:a\",\"state\":\"out\"}",
                            "{\"subject\":\"domain:\",\"state\":\"out\"}",
                            "{\"subject\":\"domain:a\",\"state\":\"off\"}")) {
                assertEquals(400, send(order(body)).statusCode(), body);
            }
            assertEquals(413, send(order(" ".repeat(20_000))).statusCode());
            assertEquals(List.of(), daemon.membership().orders().snapshot().orders());
        }

        /** Guards against orders and data for unauthenticated clients. */
        @Test
        void unauthenticatedRequestsDoNothing() throws Exception {
            var post = request("/v1/orders").POST(HttpRequest.BodyPublishers.ofString(OUT));
            assertEquals(401, send(post).statusCode());
            assertEquals(401, send(request("/v1/orders")).statusCode());
            assertEquals(401, send(request("/v1/members")).statusCode());
            assertEquals(List.of(), daemon.membership().orders().snapshot().orders());
        }
    }

    @Nested
    class Queries {
        /** Guards against unreachable members that are shown as reachable. */
        @Test
        void membersShowTheirContact() throws Exception {
            JsonObject body = get("/v1/members");
            assertEquals("h0", body.getString("self"));
            JsonArray members = body.getJsonArray("members");
            assertEquals("contact", members.getJsonObject(0).getString("contact"));
            assertEquals("late", members.getJsonObject(1).getString("contact"));
            assertEquals(false, body.getBoolean("in_contact_with_all"));
            assertTrue(body.getJsonObject("traffic").containsKey("bytes_sent"));
        }
    }
}
