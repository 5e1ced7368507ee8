package org.godwithoist.peers;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.rollout.fleet.RolloutReports;
import org.godwithoist.streams.RecordedOrigins;
import org.godwithoist.targets.FleetWork;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.TargetDirectory;

/**
 * Reports this daemon's requests in progress, the prompt prefixes that engines have cached for it,
 * the evidence against suspects, the work of targets, the demand for full services and the versions
 * of services to other daemons, and applies what they send. Uses one sending task for each
 * receiving daemon, one each for evidence, work, demand, versions and the contact with the store,
 * one receiving task, and one task that refreshes the plan. Thread-safe.
 */
public final class LoadExchange implements Closeable {
    private static final Duration PLAN_REFRESH_INTERVAL = Duration.ofSeconds(1);

    /** Backoff after a transport failure; keeps a permanent failure from using much CPU. */
    private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(1);

    /**
     * Dependencies of an exchange.
     *
     * @param incarnation start time of this daemon; orders its reports across restarts
     * @param hasStoreContact whether the store has lately responded to this daemon
     * @param rollouts orders in progress; empty if the deployment rolls no versions out
     */
    public record Dependencies(
            Member self,
            long incarnation,
            PeerTransport transport,
            TargetDirectory directory,
            PeerLoads loads,
            FleetWork work,
            Quarantine quarantine,
            OverloadControl overload,
            Optional<RolloutReports> rollouts,
            RecordedOrigins origins,
            BooleanSupplier hasStoreContact,
            Supervisor supervisor,
            EventLog log,
            Ticker ticker) {}

    private final Dependencies dependencies;
    private final LoadReportBuilder reportBuilder;
    private final EvidenceSender evidenceSender;
    private final WorkSender workSender;
    private final DemandSender demandSender;
    private final VersionSender versionSender;
    private final StoreContactSender storeContactSender;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<HostId, Peer> peers = new ConcurrentHashMap<>();
    private final Set<HostId> activeSenders = ConcurrentHashMap.newKeySet();
    private volatile ExchangePlan plan = ExchangePlan.NO_PEERS;
    private volatile boolean closed;

    /** Creates an exchange that knows no other daemons. */
    public LoadExchange(Dependencies dependencies) {
        this.dependencies = dependencies;
        reportBuilder =
                new LoadReportBuilder(
                        dependencies.directory(), dependencies.loads(), dependencies.ticker());
        evidenceSender =
                new EvidenceSender(
                        dependencies.self(),
                        dependencies.quarantine(),
                        this::receiverAddresses,
                        dependencies.transport(),
                        dependencies.log());
        workSender =
                new WorkSender(
                        dependencies.self(),
                        dependencies.incarnation(),
                        dependencies.work(),
                        this::receivers,
                        dependencies.transport(),
                        dependencies.log());
        demandSender =
                new DemandSender(
                        dependencies.self(),
                        dependencies.incarnation(),
                        dependencies.overload(),
                        this::demandReceivers,
                        dependencies.transport(),
                        dependencies.log());
        versionSender =
                new VersionSender(
                        dependencies.self(),
                        dependencies.origins(),
                        this::receiverAddresses,
                        dependencies.transport(),
                        dependencies.log());
        storeContactSender =
                new StoreContactSender(
                        dependencies.self(),
                        this::hasOwnStoreContact,
                        this::receiverAddresses,
                        dependencies.transport(),
                        dependencies.log());
    }

    /**
     * A member gets the rows from its leader, so that it cannot tell whether the store responds.
     */
    private boolean hasOwnStoreContact() {
        return plan.leader().isEmpty() && dependencies.hasStoreContact().getAsBoolean();
    }

    /** Starts the tasks. */
    public void start() {
        dependencies.supervisor().start("peers-receive", this::receiveMessages);
        dependencies.supervisor().start("peers-plan", this::refreshPlan);
        dependencies.supervisor().start("peers-evidence", evidenceSender::run);
        dependencies.supervisor().start("peers-work", workSender::run);
        dependencies.supervisor().start("peers-demand", demandSender::run);
        dependencies.supervisor().start("peers-versions", versionSender::run);
        dependencies.supervisor().start("peers-store-contact", storeContactSender::run);
        dependencies.rollouts().ifPresent(this::startRolloutSender);
    }

    private void startRolloutSender(RolloutReports reports) {
        RolloutSender sender =
                new RolloutSender(
                        dependencies.self(),
                        reports,
                        () -> plan.receivers(),
                        host -> peers.get(host).member().address(),
                        dependencies.transport(),
                        dependencies.log());
        dependencies.supervisor().start("peers-rollout", sender::run);
    }

    /**
     * Adds the daemons of the list and updates their addresses. Daemons that are missing from the
     * list are kept, because a daemon may send reports before it is listed.
     */
    public void updateMembers(Collection<Member> daemons) {
        daemons.stream()
                .filter(m -> !m.host().equals(dependencies.self().host()))
                .forEach(this::updatePeer);
        updatePlan();
    }

    /**
     * Returns whether this daemon hears of a new version that any daemon knows: from another one
     * that is in contact with the store or, if there is none, from all others.
     */
    public boolean hearsOfVersions() {
        long now = dependencies.ticker().nanos();
        Collection<Peer> others = peers.values();
        if (others.stream().anyMatch(p -> p.hasStoreContact(now))) {
            return true;
        }
        return !others.isEmpty() && others.stream().allMatch(p -> p.isHeardNow(now));
    }

    /**
     * Returns whether a daemon that exchanges messages with this one has sent none within the last
     * seconds. In a large fleet most daemons exchange none with each other.
     */
    public boolean isSilent(HostId host) {
        return plan.receivers().containsKey(host)
                && !peers.get(host).isRecentlyActive(dependencies.ticker().nanos());
    }

    /** Returns whether this daemon leads its failure domain. */
    public boolean isLeader() {
        return plan.isLeader();
    }

    /**
     * Returns the address at which the leader of this daemon's failure domain receives messages;
     * empty if this daemon is the leader or if the fleet is too small to have leaders.
     */
    public Optional<Endpoint> leaderAddress() {
        return plan.leader().map(h -> peers.get(h).member().address());
    }

    private Peer updatePeer(Member member) {
        Peer known = peers.get(member.host());
        if (known != null) {
            known.setMember(member);
            return known;
        }
        Peer peer = new Peer(member);
        peers.put(member.host(), peer);
        dependencies
                .log()
                .event("peer")
                .with("host", member.host().value())
                .with("address", member.address().toString())
                .write();
        return peer;
    }

    // ---- plan

    private void refreshPlan() {
        while (!closed && Tasks.sleep(PLAN_REFRESH_INTERVAL)) {
            updatePlan();
        }
    }

    private synchronized void updatePlan() {
        long now = dependencies.ticker().nanos();
        List<Member> others = peers.values().stream().map(Peer::member).toList();
        ExchangePlan next =
                ExchangePlan.of(
                        dependencies.self(),
                        others,
                        h -> peers.get(h).isUnresponsive(now),
                        h -> peers.get(h).isRecentlyActive(now));
        if (next.isLeader() != plan.isLeader()) {
            dependencies.log().event("peers_leader").with("leads", next.isLeader()).write();
        }
        plan = next;
        for (HostId host : next.receivers().keySet()) {
            if (activeSenders.add(host)) {
                dependencies.supervisor().start("peer-" + host, () -> sendReports(host));
            }
        }
    }

    // ---- sending

    private void sendReports(HostId host) {
        Peer peer = peers.get(host);
        boolean keepRunning = true;
        while (keepRunning && !closed && plan.receivers().containsKey(host)) {
            keepRunning = Tasks.sleep(send(peer) ? sendInterval(peer) : FAILURE_BACKOFF);
        }
        activeSenders.remove(host);
    }

    private List<Endpoint> receiverAddresses() {
        return receivers().stream().map(Receiver::address).toList();
    }

    private List<Receiver> receivers() {
        return plan.receivers().entrySet().stream()
                .map(e -> receiver(e.getKey(), e.getValue()))
                .toList();
    }

    private Receiver receiver(HostId host, PeerLoads.Scope scope) {
        return new Receiver(host, peers.get(host).member().address(), scope);
    }

    private Map<HostId, DemandSender.Receiver> demandReceivers() {
        Map<HostId, DemandSender.Receiver> receivers = new HashMap<>();
        plan.receivers()
                .forEach(
                        (host, scope) ->
                                receivers.put(
                                        host,
                                        new DemandSender.Receiver(
                                                peers.get(host).member(), scope)));
        return receivers;
    }

    private Duration sendInterval(Peer peer) {
        return plan.role().interval(peer.isUnresponsive(dependencies.ticker().nanos()));
    }

    private boolean send(Peer peer) {
        Member to = peer.member();
        PeerLoads.Scope scope = plan.receivers().get(to.host());
        if (scope == null) {
            return true;
        }
        PeerLoads.Report report =
                reportBuilder.build(
                        scope, to.host(), dependencies.incarnation(), sequence.incrementAndGet());
        LoadMessage message =
                new LoadMessage(dependencies.self().host(), dependencies.self().domain(), report);
        try {
            dependencies.transport().send(message, to.address());
            return true;
        } catch (IOException e) {
            dependencies
                    .log()
                    .event("peer_message_not_sent")
                    .with("address", to.address().toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
            return false;
        }
    }

    // ---- receiving

    private void receiveMessages() {
        boolean keepRunning = true;
        while (keepRunning && !closed) {
            try {
                handle(dependencies.transport().receive());
            } catch (MalformedMessageException e) {
                dependencies
                        .log()
                        .event("peer_message_left_out")
                        .with("reason", e.getMessage())
                        .write();
            } catch (IOException e) {
                keepRunning = !closed && logAndBackOff(e);
            }
        }
    }

    private boolean logAndBackOff(IOException failure) {
        dependencies
                .log()
                .event("peers_receive_failed")
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
        return Tasks.sleep(FAILURE_BACKOFF);
    }

    private void handle(PeerTransport.Received received) {
        PeerMessage message = received.message();
        if (message.sender().equals(dependencies.self().host())) {
            return;
        }
        boolean isNew = !peers.containsKey(message.sender());
        Member sender = new Member(message.sender(), message.domain(), received.from());
        updatePeer(sender).recordMessage(dependencies.ticker().nanos());
        if (isNew) {
            updatePlan();
        }
        switch (message) {
            case LoadMessage load -> applyReport(load);
            case EvidenceMessage evidence -> applyEvidence(evidence);
            case WorkMessage work -> applyWork(work);
            case DemandMessage demand -> applyDemand(demand);
            case RolloutMessage rollout -> applyRollout(rollout);
            case VersionMessage version -> applyVersion(version);
            case StoreContactMessage contact ->
                    peers.get(contact.sender()).recordStoreContact(dependencies.ticker().nanos());
        }
    }

    /** Adds evidence of another daemon; a leader forwards what is new at once. */
    private void applyEvidence(EvidenceMessage message) {
        boolean isNews = dependencies.quarantine().merge(message.evidence());
        if (isNews && plan.isLeader()) {
            evidenceSender.send();
        }
    }

    private void applyWork(WorkMessage message) {
        if (!isFromOtherLeader(message.report().scope())) {
            dependencies.work().receive(message.sender(), message.report());
        }
    }

    private void applyDemand(DemandMessage message) {
        if (!isFromOtherLeader(message.report().scope())) {
            dependencies.overload().receive(message.sender(), message.report());
        }
    }

    /** A leader sums the reports itself; the sum of another leader would count them twice. */
    private boolean isFromOtherLeader(PeerLoads.Scope scope) {
        return plan.isLeader() && scope == PeerLoads.Scope.FLEET;
    }

    private void applyRollout(RolloutMessage message) {
        dependencies
                .rollouts()
                .ifPresent(r -> r.receive(message.sender(), message.domain(), message.report()));
    }

    /** Adds a version that another daemon knows; a leader passes on what is new at once. */
    private void applyVersion(VersionMessage message) {
        boolean isNews = dependencies.origins().merge(message.sighting());
        if (isNews && plan.isLeader()) {
            versionSender.send();
        }
    }

    private void applyReport(LoadMessage message) {
        if (peers.get(message.sender()).recordIncarnation(message.report().incarnation())) {
            dependencies.directory().announceLeavingAgain();
        }
        dependencies.directory().recordPeerLeaving(message.report().leaving());
        dependencies.directory().recordRateNews(message.report().rateNews());
        dependencies.directory().recordRejectionNews(message.report().rejectionNews());
        if (!isFromOtherLeader(message.report().scope())) {
            dependencies.loads().receive(message.sender(), message.report());
            reportBuilder.recordCachedPrefixes(message.report());
        }
    }

    /** Stops the exchange and closes its transport. */
    @Override
    public void close() throws IOException {
        closed = true;
        dependencies.transport().close();
    }
}
