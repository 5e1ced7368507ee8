package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: a page whose creation is costly. */
@Timeout(30)
final class SharedPageTest {
    private static final int REQUESTS = 50;

    private final AtomicInteger created = new AtomicInteger();

    private StatusServer.Response numberedPage() {
        return StatusServer.Response.of(200, "page " + created.incrementAndGet());
    }

    private static String text(StatusServer.Response response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    /** Load: requests that come while a page is created. */
    @Nested
    final class RequestsAtTheSameTime {
        /** Guards against a creation for each request of a crowd. */
        @Test
        void shareOnePage() throws Exception {
            CountDownLatch mayEnd = new CountDownLatch(1);
            CountDownLatch begun = new CountDownLatch(1);
            SharedPage page =
                    new SharedPage(
                            () -> {
                                begun.countDown();
                                awaitUninterrupted(mayEnd);
                                return numberedPage();
                            },
                            Ticker.SYSTEM);
            Request first = Request.start(page);
            begun.await();
            List<Request> others =
                    Stream.generate(() -> Request.start(page)).limit(REQUESTS).toList();
            EdgeFixture.await("the requests", () -> others.stream().allMatch(Request::waits));
            mayEnd.countDown();
            assertEquals("page 1", first.text().get());
            // They came after the first creation had begun, so that its page is too old for them.
            for (Request r : others) {
                assertEquals("page 2", r.text().get());
            }
        }

        /** A request and the text of its response. */
        private record Request(Thread task, CompletableFuture<String> text) {
            static Request start(SharedPage page) {
                CompletableFuture<String> text = new CompletableFuture<>();
                Thread task = Tasks.start("request", () -> receive(page, text));
                return new Request(task, text);
            }

            private static void receive(SharedPage page, CompletableFuture<String> text) {
                try {
                    text.complete(SharedPageTest.text(page.response()));
                } catch (IOException e) {
                    text.completeExceptionally(e);
                }
            }

            boolean waits() {
                return task.getState() == Thread.State.WAITING;
            }
        }

        private static void awaitUninterrupted(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    @Nested
    final class RequestsOneAfterTheOther {
        @Test
        void eachGetsANewPage() throws IOException {
            SharedPage page = new SharedPage(SharedPageTest.this::numberedPage, Ticker.SYSTEM);
            assertEquals("page 1", text(page.response()));
            assertEquals("page 2", text(page.response()));
        }

        /** Guards against a page that is never created again after one failure. */
        @Test
        void failureEndsWithItsRequest() throws IOException {
            SharedPage page =
                    new SharedPage(
                            () -> {
                                if (created.incrementAndGet() == 1) {
                                    throw new IOException("no page");
                                }
                                return StatusServer.Response.of(200, "page");
                            },
                            Ticker.SYSTEM);
            IOException e = assertThrows(IOException.class, page::response);
            assertTrue(e.getMessage().contains("no page"), e.getMessage());
            assertArrayEquals("page".getBytes(StandardCharsets.UTF_8), page.response().body());
        }
    }
}
