package org.godwithoist.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.TargetDirectory;

/** The admissions of all services at one daemon, and the demand of the others. Thread-safe. */
public final class OverloadControl {
    /**
     * Dependencies of the control.
     *
     * @param outOfService failure domains whose targets get no new requests
     * @param share this daemon's even share of the limits of the fleet
     */
    public record Dependencies(
            TargetDirectory directory,
            PeerLoads loads,
            Supplier<Set<FailureDomainId>> outOfService,
            Supplier<FleetShare> share,
            OverloadLimits limits,
            CapacityObserver observer,
            Ticker ticker,
            RandomGenerator random) {}

    private final Dependencies dependencies;
    private final PeerDemand peerDemand;
    private final Map<ServiceId, ServiceAdmission> admissions = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();

    /** Creates a control that has admitted no requests. */
    public OverloadControl(Dependencies dependencies) {
        this.dependencies = dependencies;
        peerDemand = new PeerDemand(dependencies.ticker());
    }

    /** Asks for a slot of a service; the ticket must be closed. */
    public Ticket enter(ServiceId service, AdmissionRequest request) {
        return admission(service).enter(request);
    }

    private ServiceAdmission admission(ServiceId service) {
        ServiceAdmission known = admissions.get(service);
        return known != null ? known : admissions.computeIfAbsent(service, this::create);
    }

    private ServiceAdmission create(ServiceId service) {
        return new ServiceAdmission(
                service,
                new ServiceSource(service),
                dependencies.limits(),
                dependencies.observer(),
                dependencies.ticker(),
                dependencies.random());
    }

    /**
     * Reads the signals of all services, also of those for which this daemon has no requests: the
     * others need to know that. To be called several times a second.
     */
    public void refresh() {
        dependencies.directory().services().forEach(this::admission);
        admissions.values().forEach(ServiceAdmission::refresh);
    }

    /** Returns the state of the services that have had requests. */
    public List<ServiceStatus> statuses() {
        return admissions.values().stream().map(ServiceAdmission::status).toList();
    }

    // ---- demand of other daemons

    /** Records what another daemon reports. */
    public void receive(HostId sender, DemandReport report) {
        peerDemand.receive(sender, report);
    }

    /**
     * Returns the reports for a daemon: one for each service that may soon be full.
     *
     * @param scope whose demand the reports contain
     * @param to receiving daemon; its own demand is left out of a report of the whole fleet
     * @param incarnation start time of this daemon
     */
    public List<DemandReport> reports(PeerLoads.Scope scope, HostId to, long incarnation) {
        List<DemandReport> reports = new ArrayList<>();
        admissions.forEach(
                (service, admission) -> {
                    if (admission.reportsDemand()) {
                        PeerDemand.View view = demand(service, admission, scope, to);
                        reports.add(
                                new DemandReport(
                                        service,
                                        incarnation,
                                        sequence.incrementAndGet(),
                                        scope,
                                        view.daemons(),
                                        view.byWorkspace()));
                    }
                });
        return reports;
    }

    private PeerDemand.View demand(
            ServiceId service, ServiceAdmission admission, PeerLoads.Scope scope, HostId to) {
        Map<WorkspaceKey, Demand> own = admission.demand();
        return switch (scope) {
            case OWN -> PeerDemand.View.EMPTY.plus(1, own);
            case DOMAIN -> peerDemand.ownView(service).plus(1, own);
            case FLEET ->
                    peerDemand.view(service).plus(1, own).minus(peerDemand.ownView(service, to));
        };
    }

    /** Reads one service's signals from the directory and the other daemons. */
    private final class ServiceSource implements CapacitySource {
        private final ServiceId service;

        ServiceSource(ServiceId service) {
            this.service = service;
        }

        @Override
        public CapacitySignals signals() {
            return CapacitySignals.of(
                    dependencies.directory().targets(service),
                    dependencies.loads().view(),
                    dependencies.outOfService().get());
        }

        @Override
        public PeerDemand.View peerDemand() {
            return peerDemand.view(service);
        }

        @Override
        public FleetShare share() {
            return dependencies.share().get();
        }
    }
}
