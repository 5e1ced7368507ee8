package org.godwithoist.membership.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.membership.FleetMembership;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.Order;
import org.godwithoist.membership.OrderOutcome;
import org.godwithoist.membership.OrderState;
import org.godwithoist.membership.OrderSubject;
import org.godwithoist.membership.wire.PeerTraffic;
import org.godwithoist.membership.wire.Rejection;

/** HTTP routes for operators: orders for failure domains and hosts, and the list of members. */
public final class MembershipRoutes {
    /**
     * Key in the routing context under which the authentication handler stores the operator's name.
     */
    public static final String OPERATOR = "operator";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_BODY_BYTES = 16 << 10;
    private static final String ORDERS_PATH = "/v1/orders";
    private static final String MEMBERS_PATH = "/v1/members";

    private final FleetMembership membership;
    private final PeerTraffic traffic;
    private final Handler<RoutingContext> authentication;

    /**
     * Creates the routes; {@link #mount} adds them to a router.
     *
     * @param authentication stores the operator's name under {@link #OPERATOR} and calls {@code
     *     next()}, or ends the request
     */
    public MembershipRoutes(
            FleetMembership membership,
            PeerTraffic traffic,
            Handler<RoutingContext> authentication) {
        this.membership = membership;
        this.traffic = traffic;
        this.authentication = authentication;
    }

    /** Adds the routes to a router. */
    public void mount(Router router) {
        router.post(ORDERS_PATH)
                // The body handler comes first, because the authentication may be asynchronous and
                // the body would be lost meanwhile.
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
                .handler(authentication)
                .handler(this::postOrder);
        router.get(ORDERS_PATH).handler(authentication).handler(this::getOrders);
        router.get(MEMBERS_PATH).handler(authentication).handler(this::getMembers);
    }

    private void postOrder(RoutingContext c) {
        String operator = c.get(OPERATOR);
        if (operator == null) {
            sendError(c, ErrorCode.UNAUTHENTICATED, "the request has no authenticated operator");
            return;
        }
        OrderSubject subject;
        OrderState state;
        try {
            // asJsonObject() would fail with a ClassCastException on a body of another JSON type.
            if (c.body().buffer() == null
                    || !(Json.decodeValue(c.body().buffer()) instanceof JsonObject body)) {
                throw new DecodeException("not an object");
            }
            subject = OrderSubject.parse(text(body, "subject"));
            state = OrderState.parse(text(body, "state"));
        } catch (DecodeException e) {
            sendError(c, ErrorCode.BAD_REQUEST, "the body is not a JSON object");
            return;
        } catch (IllegalArgumentException e) {
            sendError(c, ErrorCode.BAD_REQUEST, e.getMessage());
            return;
        }
        Context context = Vertx.currentContext();
        Tasks.start(
                "order-" + subject,
                () -> {
                    try {
                        var outcome =
                                membership.issueOrder(subject, state, new OperatorName(operator));
                        context.runOnContext(v -> sendResult(c, outcome));
                    } catch (RequestException e) {
                        context.runOnContext(v -> sendError(c, e.code(), e.getMessage()));
                    } catch (RuntimeException e) {
                        LOG.atSevere().withCause(e).log("cannot issue the order for %s", subject);
                        context.runOnContext(
                                v ->
                                        sendError(
                                                c,
                                                ErrorCode.INTERNAL,
                                                "internal error; the order may be"
                                                        + " in force, GET /v1/orders shows it"));
                    }
                });
    }

    private static String text(JsonObject body, String field) {
        if (!(body.getValue(field) instanceof String text)) {
            throw new IllegalArgumentException(field + " must be a string");
        }
        return text;
    }

    private static void sendResult(RoutingContext c, OrderOutcome outcome) {
        JsonObject body =
                json(outcome.order()).put("unacknowledged", hosts(outcome.unacknowledged()));
        if (!outcome.unconfirmed().isEmpty()) {
            JsonArray groups = new JsonArray();
            outcome.unconfirmed().forEach(g -> groups.add(g.number()));
            body.put("unconfirmed_groups", groups);
        }
        outcome.supersededBy()
                .ifPresent(
                        winner -> {
                            body.put("superseded_by", json(winner));
                            body.put(
                                    "error",
                                    error(
                                            ErrorCode.CONFLICT,
                                            "another order for the subject has a higher stamp"));
                            c.response().setStatusCode(ErrorCode.CONFLICT.httpStatus());
                        });
        c.json(body);
    }

    private void getOrders(RoutingContext c) {
        JsonArray list = new JsonArray();
        membership.orders().snapshot().orders().forEach(o -> list.add(json(o)));
        List<HostId> differing =
                membership.members().members().stream()
                        .map(Member::host)
                        .filter(h -> !membership.rounds().holdsSameOrders(h))
                        .toList();
        c.json(
                new JsonObject()
                        .put("orders", list)
                        .put("differing_members", hosts(differing))
                        .put("store_answers", membership.isStoreAvailable()));
    }

    private void getMembers(RoutingContext c) {
        JsonArray list = new JsonArray();
        for (Member m : membership.members().members()) {
            list.add(
                    new JsonObject()
                            .put("host", m.host().value())
                            .put("failure_domain", m.failureDomain().value())
                            .put("peer", m.peer().toString())
                            .put("incarnation", m.incarnation())
                            .put("contact", membership.members().contactState(m.host()).wireName())
                            .put("orders_agree", membership.rounds().holdsSameOrders(m.host())));
        }
        JsonObject rejected = new JsonObject();
        for (Rejection r : Rejection.values()) {
            rejected.put(r.wireName(), traffic.rejected(r));
        }
        c.json(
                new JsonObject()
                        .put("self", membership.members().self().host().value())
                        .put("in_contact_with_all", membership.members().inContactWithAll())
                        .put("members", list)
                        .put(
                                "traffic",
                                new JsonObject()
                                        .put("bytes_sent", traffic.bytesSent())
                                        .put("bytes_received", traffic.bytesReceived())
                                        .put("connections_replaced", traffic.connectionsReplaced())
                                        .put("rejected", rejected)));
    }

    private static JsonObject json(Order o) {
        return new JsonObject()
                .put("subject", o.subject().toString())
                .put("state", o.state().wireName())
                .put(
                        "stamp",
                        new JsonObject()
                                .put("time", o.stamp().time())
                                .put("host", o.stamp().host().value()))
                .put("operator", o.operator().value());
    }

    private static JsonArray hosts(List<HostId> hosts) {
        JsonArray list = new JsonArray();
        hosts.forEach(h -> list.add(h.value()));
        return list;
    }

    private static JsonObject error(ErrorCode code, String message) {
        return new JsonObject().put("code", code.wireName()).put("message", message);
    }

    private static void sendError(RoutingContext c, ErrorCode code, String message) {
        c.response().setStatusCode(code.httpStatus());
        c.json(new JsonObject().put("error", error(code, message)));
    }
}
