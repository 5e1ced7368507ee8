package org.godwithoist.report.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.time.InstantSource;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.core.task.Await;
import org.godwithoist.report.BurnReporter;
import org.godwithoist.report.wire.TableBurnStore;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BurnRoutesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Vertx vertx = Vertx.vertx();
    private final FakeTableStore tables = new FakeTableStore();
    private int port;

    @BeforeEach
    void listen() {
        Router router = Router.router(vertx);
        var reporter =
                new BurnReporter(
                        new TableBurnStore(tables),
                        p -> new ServiceLevel(p, Duration.ZERO, Duration.ZERO, Duration.ZERO, 0.99),
                        InstantSource.system());
        new BurnRoutes(reporter).mount(router);
        var server = vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1");
        port = Await.result(server, TIMEOUT).actualPort();
    }

    @AfterEach
    void close() {
        Await.result(vertx.close(), TIMEOUT);
    }

    private record Page(int status, String type, String body) {}

    private Page get(String path) {
        return Await.result(
                vertx.createHttpClient()
                        .request(HttpMethod.GET, port, "127.0.0.1", path)
                        .compose(r -> r.send())
                        .compose(r -> r.body().map(b -> page(r, b))),
                TIMEOUT);
    }

    private static Page page(HttpClientResponse r, Buffer body) {
        return new Page(r.statusCode(), r.getHeader("Content-Type"), body.toString());
    }

    @Nested
    class Routes {
        /** Guards against a path that returns the format of the other path. */
        @Test
        void respondInTheFormatOfThePath() {
            Page json = get("/v1/report/burn");
            assertEquals("application/json", json.type());
            assertTrue(json.body().contains("\"series\":[]"), json.body());
            Page html = get("/v1/report/burn.html");
            assertEquals("text/html; charset=utf-8", html.type());
            assertTrue(html.body().startsWith("<!DOCTYPE html>"));
        }

        /**
         * Guards against a store outage that is reported as an empty report, as if no requests ran.
         */
        @Test
        void storeOutageIsAnError() {
            tables.setFault(StoreFault.DOWN);
            assertEquals(503, get("/v1/report/burn").status());
            assertEquals(503, get("/v1/report/burn.html").status());
        }
    }
}
