package org.godwithoist.targets;

import java.util.HashMap;
import java.util.Map;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;

/**
 * Outstanding work and work times of the targets of this daemon and of the others. Active once a
 * target has reported its work time. Thread-safe.
 */
public final class FleetWork {
    private final boolean enabled;

    /** Work time from which a target counts as slow in the metrics, as a multiple of the usual. */
    private static final double SLOW_FACTOR = 1.5;

    private final TargetDirectory directory;
    private final PeerWork peers;

    /** Creates an instance without reports, for daemons that place requests by work. */
    public FleetWork(TargetDirectory directory, Ticker ticker) {
        this(directory, true, ticker);
    }

    /**
     * Creates an instance without reports.
     *
     * @param enabled whether this daemon places requests by work and reports its own
     */
    public FleetWork(TargetDirectory directory, boolean enabled, Ticker ticker) {
        this.enabled = enabled;
        this.directory = directory;
        peers = new PeerWork(ticker);
    }

    /** Returns whether a target has reported its work time, so that work is counted. */
    public boolean isActive() {
        return enabled && directory.all().anyMatch(Target::reportsWorkTime);
    }

    /** Records what another daemon reports. Unknown targets are ignored. */
    public void receive(HostId peer, WorkReport report) {
        peers.receive(peer, report);
        if (report.workTimes().isEmpty()) {
            return;
        }
        directory
                .all()
                .forEach(
                        t -> {
                            WorkTimeReading reading = report.workTimes().get(t.key());
                            if (reading != null) {
                                t.work().recordPeerReading(reading);
                            }
                        });
    }

    /**
     * Returns the report for another daemon.
     *
     * @param scope whose work the report contains
     * @param to receiving daemon; its own work is left out of a report of the whole fleet
     */
    public WorkReport report(PeerLoads.Scope scope, HostId to, long incarnation, long sequence) {
        Map<TargetKey, TokenWork> own = new HashMap<>();
        Map<TargetKey, WorkTimeReading> workTimes = new HashMap<>();
        directory
                .all()
                .forEach(
                        t -> {
                            TokenWork w = t.work().outstanding();
                            if (!w.isNone()) {
                                own.put(t.key(), w);
                            }
                            t.work().reading().ifPresent(r -> workTimes.put(t.key(), r));
                        });
        PeerWork.View sum =
                switch (scope) {
                    case OWN -> new PeerWork.View(own, true);
                    case DOMAIN -> peers.ownView().with(own);
                    case FLEET -> peers.view().with(own).without(peers.ownWork(to));
                };
        return new WorkReport(incarnation, sequence, scope, sum.complete(), sum.work(), workTimes);
    }

    /** Returns the work of the other daemons. */
    PeerWork.View peers() {
        return peers.view();
    }

    /** Returns the work of all daemons at a target, as far as this daemon knows it. */
    public TokenWork outstanding(Target target) {
        return target.work().outstanding().plus(peers.view().work(target.key()));
    }

    /** Returns the work of all daemons at all targets, as far as this daemon knows it. */
    public TokenWork outstanding() {
        return directory.all().map(this::outstanding).reduce(TokenWork.NONE, TokenWork::plus);
    }

    /** Returns the number of targets on whose hosts work takes much longer than usual now. */
    public long slowTargets() {
        return directory.all().filter(t -> t.work().workTimeFactor() >= SLOW_FACTOR).count();
    }
}
