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
 * Authenticates operators by bearer token. Requests without a known token are rejected with status
 * 401 before any later handler runs, so they have no effect.
 */
public final class OperatorAuth implements AuthenticationHandler {
    /** Key in the routing context under which the operator's name is stored as a string. */
    public static final String OPERATOR = "operator";

    private static final String BEARER = "Bearer ";

    private final List<Credential> credentials;

    private record Credential(String name, String tokenHash) {}

    /** Creates a handler that accepts the tokens of the given operators. */
    public OperatorAuth(List<OperatorKey> operators) {
        credentials = operators.stream().map(o -> new Credential(o.name(), o.tokenHash())).toList();
    }

    @Override
    public void handle(RoutingContext c) {
        Optional<String> name =
                Optional.ofNullable(c.request().getHeader("Authorization")).flatMap(this::find);
        if (name.isEmpty()) {
            c.response().putHeader("WWW-Authenticate", "Bearer");
            OperatorResponses.sendError(
                    c,
                    RequestException.notRun(
                            ErrorCode.UNAUTHENTICATED,
                            "the operator's credential is missing or wrong"));
            return;
        }
        c.put(OPERATOR, name.get());
        c.next();
    }

    /** Returns the operator of a routing context that has passed {@link #handle}. */
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
        // Compares all entries, so that the response time does not reveal which one matches.
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
