package org.godwithoist.admission;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;

/**
 * Exchanges messages with one peer, one round trip at a time. Each exchange carries the reports and
 * demand of all shards that the peer owns and that are due.
 */
final class PeerTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Minimum interval between reports that only return contended slots. It bounds the control
     * traffic under saturation; a freed slot waits at most this long for its report.
     */
    private static final Duration RETURN_SPACING = Duration.ofMillis(20);

    /**
     * Maximum sleep while the peer owns no shard. The task is woken when the peer becomes an owner,
     * so the value only limits unnecessary wake-ups.
     */
    private static final Duration IDLE_PARK = Duration.ofSeconds(10);

    private static final int PARKS_PER_REPORT = 4;

    private final HostId peer;
    private final Collection<ShardTask> shards;
    private final AdmissionPeers peers;
    private final AdmissionTiming timing;
    private final Semaphore wake = new Semaphore(0);
    private volatile boolean closed;

    PeerTask(
            HostId peer,
            Collection<ShardTask> shards,
            AdmissionPeers peers,
            AdmissionTiming timing) {
        this.peer = peer;
        this.shards = shards;
        this.peers = peers;
        this.timing = timing;
    }

    void run() {
        while (!closed) {
            List<ShardTask> owned = owned();
            List<ShardTask> due = owned.stream().filter(s -> s.reportDue(RETURN_SPACING)).toList();
            if (!due.isEmpty()) {
                exchange(due);
            } else if (owned.isEmpty()) {
                park(IDLE_PARK);
            } else {
                park(timing.reportEvery().dividedBy(PARKS_PER_REPORT));
            }
        }
    }

    private List<ShardTask> owned() {
        List<ShardTask> owned = new ArrayList<>();
        for (ShardTask s : shards) {
            if (s.owner().filter(peer::equals).isPresent()) {
                owned.add(s);
            }
        }
        return owned;
    }

    private void exchange(List<ShardTask> due) {
        List<SlotReport> reports = new ArrayList<>();
        due.forEach(s -> reports.add(s.report()));
        try {
            List<SlotReportResponse> answers =
                    Await.result(
                            peers.exchange(peer, reports, timing.exchangeTimeout()),
                            timing.exchangeTimeout());
            for (int i = 0; i < Math.min(due.size(), answers.size()); i++) {
                due.get(i).answered(reports.get(i), answers.get(i));
            }
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log("exchange with %s failed", peer);
            // The next report repeats the demand. The delay limits the request rate to a failing
            // peer.
            park(timing.reportEvery().dividedBy(PARKS_PER_REPORT));
        }
    }

    private void park(Duration pause) {
        try {
            if (wake.tryAcquire(pause.toNanos(), TimeUnit.NANOSECONDS)) {
                wake.drainPermits();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closed = true;
        }
    }

    void wake() {
        wake.release();
    }

    void close() {
        closed = true;
        wake.release();
    }
}
