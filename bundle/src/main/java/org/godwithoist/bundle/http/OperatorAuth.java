package org.godwithoist.bundle.http;

import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.AuthenticationHandler;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.settings.OperatorKey;

/**
 * Authenticates operators by bearer token. A request without a known token ends with status 401
 * before any later handler runs, so it changes nothing.
 */
public final class OperatorAuth implements AuthenticationHandler {
    /** Key of the operator's name, a string, in the routing context. */
    public static final String OPERATOR = "operator";

    private static final String BEARER = "Bearer ";

    private final List<Credential> credentials;

    private record Credential(String name, String tokenHash) {}

    /** Makes a handler for the operators of the settings. */
    public OperatorAuth(List<OperatorKey> operators) {
        credentials = operators.stream().map(o -> new Credential(o.name(), o.tokenHash())).toList();
    }

    @Override
    public void handle(RoutingContext c) {
        Optional<String> name =
                Optional.ofNullable(c.request().getHeader("Authorization")).flatMap(this::find);
        if (name.isEmpty()) {
            c.response().putHeader("WWW-Authenticate", "Bearer");
            OperatorAnswers.fail(
                    c,
                    RequestException.notRun(
                            ErrorCode.UNAUTHENTICATED,
                            "the operator's credential is missing or wrong"));
            return;
        }
        c.put(OPERATOR, name.get());
        c.next();
    }

    /** Returns the operator whom {@link #handle} put into a routing context. */
    public static OperatorName operator(RoutingContext c) {
        return new OperatorName(c.get(OPERATOR));
    }

    private Optional<String> find(String header) {
        if (!header.startsWith(BEARER)) {
            return Optional.empty();
        }
        byte[] token = header.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8);
        byte[] hash = bytes(ContentHash.of(token).hex());
        Optional<String> found = Optional.empty();
        // All entries are compared, so that the time does not tell which one matches.
        for (Credential known : credentials) {
            if (MessageDigest.isEqual(bytes(known.tokenHash()), hash)) {
                found = Optional.of(known.name());
            }
        }
        return found;
    }

    private static byte[] bytes(String hex) {
        return hex.getBytes(StandardCharsets.US_ASCII);
    }
}
