package org.godwithoist.forwarding;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.ColdLimit;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.HealthState;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.PlacementRequest;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;

/**
 * The daemons to which a request can be passed on. To the placement they are the targets of a
 * service of their own, so that one that is slow, cannot be reached or reaches no target itself
 * gets fewer requests, like any target. Thread-safe.
 */
public final class ForwardingPeers {
    /** Service of which the other daemons are targets; no catalog has a service of this name. */
    public static final ServiceId SERVICE = new ServiceId("(daemons)");

    private static final ServiceSpec SPEC =
            new ServiceSpec(SERVICE, Integer.MAX_VALUE, Duration.ZERO, 0, "/", Optional.empty());

    /**
     * Requests that may wait at a daemon that has not shown that it serves. It may have lost its
     * targets too without knowing yet; others may then do the same to this daemon.
     */
    static final int MAX_WAITING_UNPROVEN = 2;

    /** Time for which a response shows that a daemon serves. */
    static final Duration RESPONSE_VALIDITY = Duration.ofSeconds(1);

    /** A daemon that has lost its targets has refused a request by then. */
    static final Duration MAX_REFUSAL_TIME = Duration.ofMillis(1500);

    /** The other daemons take requests without limits in common. */
    private static final FleetShare WHOLE_SHARE = new FleetShare(1, 0);

    /**
     * Another daemon.
     *
     * @param address address at which it takes requests of other daemons
     */
    public record Peer(HostId host, FailureDomainId domain, Endpoint address) {}

    /**
     * The daemon for a request, which counts there as in progress and as waiting for its response.
     */
    public record Choice(Placement.Decision decision, Target.PendingResponse pendingResponse) {}

    private final TargetDirectory directory;
    private final Placement placement;
    private final Predicate<HostId> isSilent;

    /**
     * Creates an instance that knows no other daemon.
     *
     * @param localDomain failure domain of this daemon; others of it are preferred
     * @param isSilent returns whether a daemon sends no messages although it should
     */
    public ForwardingPeers(
            FailureDomainId localDomain,
            Predicate<HostId> isSilent,
            Ticker ticker,
            RandomGenerator random) {
        this.isSilent = isSilent;
        directory = new TargetDirectory(ticker);
        placement =
                new Placement(
                        localDomain, () -> new ColdLimit(1, 0), new PeerLoads(ticker), random);
    }

    /** Adds daemons and updates the addresses of known ones. */
    public void update(Collection<Peer> peers) {
        for (Peer p : peers) {
            directory.put(
                    new TargetEntry(
                            new TargetId(p.host().value()),
                            SERVICE,
                            p.address(),
                            p.domain(),
                            1,
                            false,
                            Duration.ZERO,
                            0));
        }
    }

    /** Returns whether a connection from an address may be that of another daemon. */
    public boolean isKnownAddress(String ip) {
        return directory.targets(SERVICE).stream()
                .anyMatch(t -> t.entry().endpoint().ip().equals(ip));
    }

    /**
     * Chooses a daemon for a request. Daemons that take requests and are not silent come first; the
     * list of daemons also has hosts that are gone.
     *
     * @param tried daemons that were asked before
     * @return empty if no daemon is left, or if enough requests wait at each
     */
    public synchronized Optional<Choice> choose(Set<TargetId> tried) {
        List<Target> free = left(tried).stream().filter(ForwardingPeers::mayTakeRequest).toList();
        List<Target> preferred = free.stream().filter(this::isPreferred).toList();
        Optional<Placement.Decision> decision = place(preferred);
        return (decision.isPresent() ? decision : place(free))
                .map(d -> new Choice(d, d.target().startWaiting()));
    }

    /** Returns whether a daemon takes requests again as soon as one that waits there has ended. */
    public boolean isAnyFull(Set<TargetId> tried) {
        return left(tried).stream().anyMatch(p -> isPreferred(p) && !mayTakeRequest(p));
    }

    private List<Target> left(Set<TargetId> tried) {
        return directory.targets(SERVICE).stream().filter(t -> !tried.contains(t.id())).toList();
    }

    private static boolean mayTakeRequest(Target peer) {
        return peer.waitingRequests() < MAX_WAITING_UNPROVEN || isProven(peer);
    }

    private static boolean isProven(Target peer) {
        boolean isAtWork =
                peer.hasRespondedWithin(RESPONSE_VALIDITY) || peer.hasKeptWaiting(MAX_REFUSAL_TIME);
        return isAtWork && peer.health() != HealthState.RESTING;
    }

    private boolean isPreferred(Target peer) {
        return peer.health() != HealthState.RESTING
                && !isSilent.test(new HostId(peer.id().value()));
    }

    private Optional<Placement.Decision> place(List<Target> peers) {
        return placement.place(
                new PlacementRequest(SPEC, Optional.empty(), Set.of(), Set.of(), WHOLE_SHARE),
                peers);
    }
}
