package org.godwithoist.daemon.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.http.OperatorAuth;
import org.godwithoist.daemon.Lifecycle;
import org.godwithoist.membership.FleetMembers;
import org.godwithoist.membership.FleetMembership;
import org.godwithoist.membership.HostListState;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.wire.PeerTraffic;
import org.godwithoist.settings.DaemonSettings;

/** HTTP route that returns the state of this daemon to operators. */
public final class StatusRoutes {
    private static final double NANOS_PER_SECOND = 1e9;

    private final DaemonSettings settings;
    private final Lifecycle lifecycle;
    private final FleetMembership membership;
    private final HeadState head;
    private final PeerTraffic traffic;
    private final OperatorAuth auth;
    private final long startNanos = System.nanoTime();

    /** Creates the routes; {@link #mount} adds them to a router. */
    public StatusRoutes(
            DaemonSettings settings,
            Lifecycle lifecycle,
            FleetMembership membership,
            HeadState head,
            PeerTraffic traffic,
            OperatorAuth auth) {
        this.settings = settings;
        this.lifecycle = lifecycle;
        this.membership = membership;
        this.head = head;
        this.traffic = traffic;
        this.auth = auth;
    }

    /** Adds the routes to a router. */
    public void mount(Router router) {
        router.get("/v1/status").handler(auth).handler(this::status);
    }

    private void status(RoutingContext c) {
        FleetMembers members = membership.members();
        JsonArray memberList = new JsonArray();
        for (Member m : members.members()) {
            memberList.add(
                    new JsonObject()
                            .put("host", m.host().value())
                            .put("failure_domain", m.failureDomain().value())
                            .put("contact", members.contactState(m.host()).name()));
        }
        double uptimeSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        c.json(
                new JsonObject()
                        .put("host", settings.host().value())
                        .put("failure_domain", settings.failureDomain().value())
                        .put("stage", lifecycle.stage().name())
                        .put("requests_in_progress", lifecycle.inProgress())
                        .put("bundle_revision", head.revisionNumber())
                        .put("control_bytes_sent", traffic.bytesSent())
                        .put("control_bytes_per_second", traffic.bytesSent() / uptimeSeconds)
                        .put("host_list", hostList())
                        .put("members", memberList));
    }

    private JsonObject hostList() {
        HostListState list = membership.hostList();
        JsonObject json = new JsonObject().put("reader", membership.hostListRefresher().isReader());
        list.current().ifPresent(h -> json.put("entries", h.copy().entries().size()));
        list.age().ifPresent(a -> json.put("age_seconds", a.toNanos() / NANOS_PER_SECOND));
        return json;
    }
}
