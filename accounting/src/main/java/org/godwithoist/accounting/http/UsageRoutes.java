package org.godwithoist.accounting.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.TreeSet;
import org.godwithoist.accounting.UnsettledUsage;
import org.godwithoist.accounting.Usage;
import org.godwithoist.accounting.UsageAccounts;
import org.godwithoist.accounting.UsageOverview;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;

/** HTTP route for operators that returns the settled and unsettled usage of all workspaces. */
public final class UsageRoutes {
    private final UsageAccounts accounts;

    /** Creates the route; {@link #mount} adds it to a router. */
    public UsageRoutes(UsageAccounts accounts) {
        this.accounts = accounts;
    }

    /** Adds the route to a router; requests are processed on virtual threads. */
    public void mount(Router router) {
        router.get("/v1/usage").handler(c -> Tasks.start("usage-overview", () -> respond(c)));
    }

    private void respond(RoutingContext c) {
        try {
            c.json(json(accounts.overview()));
        } catch (RuntimeException e) {
            JsonObject error =
                    new JsonObject()
                            .put("code", ErrorCode.STORE_UNAVAILABLE.wireName())
                            .put(
                                    "message",
                                    "settled usage cannot be read from the store: "
                                            + e.getMessage());
            c.response()
                    .setStatusCode(ErrorCode.STORE_UNAVAILABLE.httpStatus())
                    .putHeader("Content-Type", "application/json")
                    .end(new JsonObject().put("error", error).encode());
        }
    }

    static JsonObject json(UsageOverview o) {
        var ids = new TreeSet<WorkspaceId>(o.settled().keySet());
        ids.addAll(o.unsettled().keySet());
        JsonArray list = new JsonArray();
        for (WorkspaceId w : ids) {
            UnsettledUsage open = o.unsettled().getOrDefault(w, UnsettledUsage.NONE);
            list.add(
                    new JsonObject()
                            .put("workspace", w.value())
                            .put("settled", usage(o.settled().getOrDefault(w, Usage.NONE)))
                            .put(
                                    "unsettled",
                                    usage(open.counted()).put("open_attempts", open.open())));
        }
        JsonArray unreachable = new JsonArray();
        o.unreachable().stream().sorted().forEach(h -> unreachable.add(h.value()));
        return new JsonObject().put("workspaces", list).put("unreachable_daemons", unreachable);
    }

    private static JsonObject usage(Usage u) {
        return new JsonObject()
                .put("requests", u.requests())
                .put("prompt_tokens", u.promptTokens())
                .put("cached_tokens", u.cachedTokens())
                .put("completion_tokens", u.completionTokens());
    }
}
