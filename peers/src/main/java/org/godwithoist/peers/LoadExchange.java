package org.godwithoist.peers;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.TargetDirectory;

/**
 * Tells other daemons the calls of this one and the parts that engines have read for it, and takes
 * what they tell. One task for each daemon that is told something sends, one receives, and one
 * keeps the plan.
 */
public final class LoadExchange implements Closeable {
    private static final Duration PLAN_PERIOD = Duration.ofSeconds(1);

    /** Pause after a failure of the transport, so that a lasting one costs little. */
    private static final Duration AFTER_FAILURE = Duration.ofSeconds(1);

    /** What an exchange works with. */
    public record Parts(
            Member self,
            long incarnation,
            PeerTransport transport,
            TargetDirectory directory,
            PeerLoads loads,
            EventLog log,
            Ticker ticker) {}

    private final Parts parts;
    private final ReportBook book;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<HostId, Peer> peers = new ConcurrentHashMap<>();
    private final Set<HostId> told = ConcurrentHashMap.newKeySet();
    private volatile ExchangePlan plan = ExchangePlan.ALONE;
    private volatile boolean closed;

    /** Makes an exchange without other daemons. */
    public LoadExchange(Parts parts) {
        this.parts = parts;
        book = new ReportBook(parts.directory(), parts.loads(), parts.ticker());
    }

    /** Starts to receive and to tell. */
    public void start() {
        Tasks.start("peers-receive", this::receiveAll);
        Tasks.start("peers-plan", this::keepPlan);
    }

    /** Takes the list of daemons; daemons that tell their calls without being listed stay. */
    public void listed(Collection<Member> daemons) {
        daemons.stream().filter(m -> !m.host().equals(parts.self().host())).forEach(this::know);
        replan();
    }

    /** Returns whether this daemon leads its failure domain. */
    public boolean leads() {
        return plan.leads();
    }

    /** Returns where the daemon that leads this one's failure domain receives messages. */
    public Optional<Endpoint> leader() {
        return plan.leader().map(h -> peers.get(h).member().address());
    }

    private Peer know(Member member) {
        Peer known = peers.get(member.host());
        if (known != null) {
            known.member(member);
            return known;
        }
        Peer peer = new Peer(member);
        peers.put(member.host(), peer);
        parts.log()
                .event("peer")
                .with("host", member.host().value())
                .with("address", member.address().toString())
                .write();
        return peer;
    }

    // ---- plan

    private void keepPlan() {
        while (!closed && Tasks.sleep(PLAN_PERIOD)) {
            replan();
        }
    }

    private synchronized void replan() {
        long now = parts.ticker().nanos();
        List<Member> others = peers.values().stream().map(Peer::member).toList();
        ExchangePlan next =
                ExchangePlan.of(
                        parts.self(),
                        others,
                        h -> peers.get(h).silent(now),
                        h -> peers.get(h).speaks(now));
        if (next.leads() != plan.leads()) {
            parts.log().event("peers_leader").with("leads", next.leads()).write();
        }
        plan = next;
        for (HostId host : next.receivers().keySet()) {
            if (told.add(host)) {
                Tasks.start("peer-" + host, () -> tell(host));
            }
        }
    }

    // ---- to the others

    private void tell(HostId host) {
        Peer peer = peers.get(host);
        boolean goOn = true;
        while (goOn && !closed && plan.receivers().containsKey(host)) {
            goOn = Tasks.sleep(send(peer) ? period(peer) : AFTER_FAILURE);
        }
        told.remove(host);
    }

    private Duration period(Peer peer) {
        return plan.role().period(peer.silent(parts.ticker().nanos()));
    }

    private boolean send(Peer peer) {
        Member to = peer.member();
        PeerLoads.Scope scope = plan.receivers().get(to.host());
        if (scope == null) {
            return true;
        }
        PeerLoads.Report report =
                book.report(scope, to.host(), parts.incarnation(), sequence.incrementAndGet());
        LoadMessage message = new LoadMessage(parts.self().host(), parts.self().domain(), report);
        try {
            parts.transport().send(message, to.address());
            return true;
        } catch (IOException e) {
            parts.log()
                    .event("peer_message_not_sent")
                    .with("address", to.address().toString())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
            return false;
        }
    }

    // ---- from the others

    private void receiveAll() {
        boolean goOn = true;
        while (goOn && !closed) {
            try {
                take(parts.transport().receive());
            } catch (MalformedMessageException e) {
                parts.log().event("peer_message_left_out").with("reason", e.getMessage()).write();
            } catch (IOException e) {
                goOn = !closed && pauseAfter(e);
            }
        }
    }

    private boolean pauseAfter(IOException failure) {
        parts.log()
                .event("peers_receive_failed")
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
        return Tasks.sleep(AFTER_FAILURE);
    }

    private void take(PeerTransport.Received received) {
        LoadMessage message = received.message();
        if (message.sender().equals(parts.self().host())) {
            return;
        }
        boolean isNew = !peers.containsKey(message.sender());
        Member sender = new Member(message.sender(), message.domain(), received.from());
        know(sender).heard(parts.ticker().nanos());
        if (isNew) {
            replan();
        }
        boolean fromOtherLeader = plan.leads() && message.report().scope() == PeerLoads.Scope.FLEET;
        if (!fromOtherLeader) {
            parts.loads().receive(message.sender(), message.report());
            book.read(message.report());
        }
    }

    /** Ends the exchange and its transport. */
    @Override
    public void close() throws IOException {
        closed = true;
        parts.transport().close();
    }
}
