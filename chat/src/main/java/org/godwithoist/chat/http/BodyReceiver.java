package org.godwithoist.chat.http;

import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.function.BiConsumer;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;

/**
 * Receives the bodies of requests, as far as there is memory for them. Each request is received on
 * the event loop of its connection.
 */
final class BodyReceiver implements Handler<RoutingContext> {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final BodyBudget budget;
    private final long maxBytes;
    private final BiConsumer<RoutingContext, Body> next;

    /**
     * A complete body.
     *
     * @param claim memory of the request, which its receiver has to release
     */
    record Body(Buffer bytes, BodyBudget.Claim claim) {}

    /**
     * Creates a receiver.
     *
     * @param maxBytes largest permitted body, in bytes
     * @param next takes over the request and its body
     */
    BodyReceiver(BodyBudget budget, long maxBytes, BiConsumer<RoutingContext, Body> next) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.next = next;
    }

    @Override
    public void handle(RoutingContext c) {
        if (announcedBytes(c.request()) > maxBytes) {
            throw tooLarge();
        }
        Reception reception = new Reception(c);
        c.request()
                .handler(reception::add)
                .endHandler(v -> reception.complete())
                .exceptionHandler(e -> reception.end());
        c.addEndHandler(v -> reception.end());
    }

    private static long announcedBytes(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            throw RequestException.notRun(
                            ErrorCode.BAD_REQUEST, "the Content-Length is not a number")
                    .withCause(e);
        }
    }

    private RequestException tooLarge() {
        return RequestException.notRun(
                ErrorCode.BODY_TOO_LARGE, "the body exceeds " + maxBytes + " bytes");
    }

    private static RequestException noMemory() {
        return RequestException.notRun(
                        ErrorCode.NO_MEMORY, "this daemon has no memory for the request")
                .withRetryAfter(RETRY_AFTER);
    }

    /** A body that is being received. Used only on the event loop of its connection. */
    private final class Reception {
        private final RoutingContext context;
        private final BodyBudget.Claim claim;
        private Buffer bytes = Buffer.buffer();
        private boolean ended;

        Reception(RoutingContext context) {
            this.context = context;
            Context eventLoop = context.vertx().getOrCreateContext();
            claim =
                    budget.claim(() -> eventLoop.runOnContext(v -> fail(noMemory())))
                            .orElseThrow(BodyReceiver::noMemory);
        }

        void add(Buffer chunk) {
            if (ended) {
                return;
            }
            if (bytes.length() + chunk.length() > maxBytes) {
                fail(tooLarge());
            } else if (claim.add(chunk.length())) {
                bytes.appendBuffer(chunk);
            } else {
                fail(noMemory());
            }
        }

        void complete() {
            if (ended) {
                return;
            }
            if (!claim.complete()) {
                fail(noMemory());
                return;
            }
            ended = true;
            next.accept(context, new Body(bytes, claim));
        }

        private void fail(RequestException cause) {
            if (ended) {
                return;
            }
            end();
            context.fail(cause);
        }

        /** Drops the body if it is not complete. */
        void end() {
            if (ended) {
                return;
            }
            ended = true;
            bytes = Buffer.buffer();
            claim.release();
        }
    }
}
