package org.godwithoist.bundle.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Handler;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Optional;
import org.godwithoist.bundle.BundleReference;
import org.godwithoist.bundle.Change;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.Proposal;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.json.BundleRows;
import org.godwithoist.bundle.store.BundleOperations;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.core.task.Tasks;

/** HTTP routes for operators under {@code /v1/bundles}. */
public final class BundleRoutes {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String BASE = "/v1/bundles";

    /**
     * A bundle of 2,300 workspaces has about 0.4 MB. Parsing uses several times the memory of the
     * body.
     */
    private static final long MAX_BODY_BYTES = 4L << 20;

    private static final int DEFAULT_HISTORY_LIMIT = 20;

    private final BundleOperations operations;
    private final OperatorAuth auth;

    /**
     * Creates the routes; {@link #mount} adds them to a router.
     *
     * @param auth authenticates all requests before their bodies are read
     */
    public BundleRoutes(BundleOperations operations, OperatorAuth auth) {
        this.operations = operations;
        this.auth = auth;
    }

    private interface Action {
        JsonObject run(RoutingContext c, OperatorName operator);
    }

    /** Adds the routes to a router; each request is processed on its own virtual thread. */
    public void mount(Router router) {
        // Two routes, because within one route Vert.x reads the body before it authenticates, and
        // the daemon must not read bodies of unauthenticated requests.
        router.route(BASE + "/*").handler(auth);
        router.route(BASE + "/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post(BASE + "/validate").handler(runInTask(this::validate));
        router.post(BASE + "/submit").handler(runInTask(this::submit));
        router.post(BASE + "/review").handler(runInTask(this::review));
        router.post(BASE + "/sign").handler(runInTask(this::sign));
        router.post(BASE + "/roll").handler(runInTask(this::roll));
        router.get(BASE + "/status").handler(runInTask((c, operator) -> status()));
        router.get(BASE + "/history").handler(runInTask((c, operator) -> history(c)));
        router.get(BASE + "/diff").handler(runInTask((c, operator) -> diff(c)));
    }

    private static Handler<RoutingContext> runInTask(Action action) {
        return c -> Tasks.start("operator-" + c.request().remoteAddress(), () -> run(c, action));
    }

    private static void run(RoutingContext c, Action action) {
        try {
            OperatorResponses.send(c, action.run(c, OperatorAuth.operator(c)));
        } catch (RequestException e) {
            OperatorResponses.sendError(c, e);
        } catch (FindingsException e) {
            OperatorResponses.sendError(c, e);
        } catch (IllegalArgumentException e) {
            OperatorResponses.sendError(
                    c, RequestException.notRun(ErrorCode.BAD_REQUEST, e.getMessage()));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log(
                    "internal error while processing an operator's request");
            // The failure may have happened after a write.
            OperatorResponses.sendError(
                    c,
                    RequestException.unknown(ErrorCode.INTERNAL, "internal error of the daemon"));
        }
    }

    // ---- stages

    private JsonObject validate(RoutingContext c, OperatorName operator) {
        JsonObject body = body(c);
        var draft = operations.validate(text(body, "file"), text(body, "text"));
        return new JsonObject()
                .put("revision", draft.revision())
                .put("manifest", draft.manifest().hex())
                .put("changes", changes(draft.changes()));
    }

    private JsonObject submit(RoutingContext c, OperatorName operator) {
        JsonObject body = body(c);
        return proposal(
                operations.submit(
                        operator,
                        text(body, "file"),
                        text(body, "text"),
                        number(body, "revision"),
                        text(body, "signature")));
    }

    private JsonObject review(RoutingContext c, OperatorName operator) {
        return proposal(operations.review(operator, id(body(c))));
    }

    private JsonObject sign(RoutingContext c, OperatorName operator) {
        JsonObject body = body(c);
        return proposal(operations.sign(operator, id(body), text(body, "signature")));
    }

    private JsonObject roll(RoutingContext c, OperatorName operator) {
        BundleOperations.Rolled rolled = operations.roll(operator, id(body(c)));
        return new JsonObject()
                .put("revision", rolled.head().revision())
                .put("manifest", rolled.head().manifest().hex())
                .put("acknowledged", hosts(rolled.report().acknowledged()))
                .put("unacknowledged", hosts(rolled.report().unacknowledged()))
                .put("out_of_contact", hosts(rolled.report().outOfContact()))
                .put("store_ms", rolled.storeTime().toMillis())
                .put("total_ms", rolled.totalTime().toMillis());
    }

    // ---- reads

    private JsonObject status() {
        BundleOperations.Status s = operations.status();
        JsonObject o = new JsonObject().put("store_answers", s.storeAvailable());
        s.inForce().ifPresent(h -> o.put("in_force", head(h)));
        s.stored().ifPresent(h -> o.put("stored", head(h)));
        return o.put("proposals", proposals(s.open()));
    }

    private JsonObject history(RoutingContext c) {
        int limit =
                c.queryParam("limit").stream()
                        .findFirst()
                        .map(Integer::parseInt)
                        .orElse(DEFAULT_HISTORY_LIMIT);
        return new JsonObject().put("revisions", proposals(operations.history(limit)));
    }

    private JsonObject diff(RoutingContext c) {
        Optional<BundleReference> from =
                c.queryParam("from").stream().findFirst().map(BundleReference::parse);
        BundleReference to =
                c.queryParam("to").stream()
                        .findFirst()
                        .map(BundleReference::parse)
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "query parameter 'to' is missing"));
        return new JsonObject().put("changes", changes(operations.diff(from, to)));
    }

    // ---- encoding

    private static JsonObject body(RoutingContext c) {
        try {
            JsonObject body = c.body().asJsonObject();
            if (body != null) {
                return body;
            }
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("the body is not a JSON object", e);
        }
        throw new IllegalArgumentException("the body is empty");
    }

    private static String text(JsonObject body, String name) {
        if (body.getValue(name) instanceof String s) {
            return s;
        }
        throw new IllegalArgumentException(name + " must be a string");
    }

    private static long number(JsonObject body, String name) {
        if (body.getValue(name) instanceof Number n) {
            return n.longValue();
        }
        throw new IllegalArgumentException(name + " must be a number");
    }

    private static ProposalId id(JsonObject body) {
        return new ProposalId(text(body, "proposal"));
    }

    private static JsonObject proposal(Proposal p) {
        JsonObject o = new JsonObject(BundleRows.write(p));
        // A daemon uses attempt ids only to recognize its own write after a lost response.
        o.getJsonArray("events").forEach(e -> ((JsonObject) e).remove("attempt"));
        return o;
    }

    private static JsonArray proposals(List<Proposal> list) {
        JsonArray a = new JsonArray();
        list.forEach(p -> a.add(proposal(p)));
        return a;
    }

    private static JsonObject head(Head h) {
        return new JsonObject(BundleRows.write(h));
    }

    private static JsonArray changes(List<Change> list) {
        JsonArray a = new JsonArray();
        list.forEach(change -> a.add(change.describe()));
        return a;
    }

    private static JsonArray hosts(List<HostId> list) {
        JsonArray a = new JsonArray();
        list.forEach(h -> a.add(h.value()));
        return a;
    }
}
