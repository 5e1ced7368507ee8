package org.godwithoist.chat.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;

/** Formats failures: the usual error fields of chat APIs plus the request id and the run state. */
final class ErrorBody {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;

    private ErrorBody() {}

    static JsonObject json(String requestId, RequestException e) {
        JsonObject error =
                new JsonObject()
                        .put("message", e.getMessage())
                        .put("type", type(e.code()))
                        .putNull("param")
                        .put("code", e.code().wireName())
                        .put("request_id", requestId)
                        .put("run_state", e.runState().wireName());
        return new JsonObject().put("error", error);
    }

    /** Sends a failure as the response. Must run before the head is written. */
    static void send(HttpServerResponse response, String requestId, RequestException e) {
        e.retryAfter()
                .ifPresent(
                        t -> {
                            long seconds = Math.max(1, t.plusMillis(999).toSeconds());
                            response.putHeader("Retry-After", Long.toString(seconds));
                        });
        response.setStatusCode(e.code().httpStatus())
                .putHeader("X-Request-Id", requestId)
                .putHeader("X-Run-State", e.runState().wireName())
                .putHeader("Content-Type", "application/json")
                .end(json(requestId, e).encode());
    }

    private static String type(ErrorCode code) {
        return switch (code) {
            case UNAUTHENTICATED -> "authentication_error";
            case FORBIDDEN -> "permission_error";
            case NOT_FOUND -> "not_found_error";
            case DEADLINE_EXCEEDED, REQUEST_TIMEOUT -> "timeout_error";
            default -> {
                if (code.httpStatus() == TOO_MANY_REQUESTS) {
                    yield "rate_limit_error";
                }
                yield code.httpStatus() >= SERVER_ERROR ? "server_error" : "invalid_request_error";
            }
        };
    }
}
