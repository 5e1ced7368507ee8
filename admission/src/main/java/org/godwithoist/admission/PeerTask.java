package org.godwithoist.admission;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Signal;

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
    private static final Duration MIN_RETURN_INTERVAL = Duration.ofMillis(20);

    /**
     * Maximum sleep while the peer owns no shard. The task is woken when the peer becomes an owner,
     * so the value only limits unnecessary wake-ups.
     */
    private static final Duration IDLE_WAIT = Duration.ofSeconds(10);

    private static final int POLLS_PER_REPORT_INTERVAL = 4;

    private final HostId peer;
    private final Collection<ShardTask> shards;
    private final AdmissionPeers peers;
    private final AdmissionTiming timing;
    private final Signal wake = new Signal();
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
            List<ShardTask> due =
                    owned.stream().filter(s -> s.reportDue(MIN_RETURN_INTERVAL)).toList();
            if (!due.isEmpty()) {
                exchange(due);
            } else if (owned.isEmpty()) {
                park(IDLE_WAIT);
            } else {
                park(timing.reportInterval().dividedBy(POLLS_PER_REPORT_INTERVAL));
            }
        }
    }

    private List<ShardTask> owned() {
        List<ShardTask> owned = new ArrayList<>();
        for (ShardTask shard : shards) {
            if (shard.owner().filter(peer::equals).isPresent()) {
                owned.add(shard);
            }
        }
        return owned;
    }

    private void exchange(List<ShardTask> due) {
        List<SlotReport> reports = new ArrayList<>();
        due.forEach(s -> reports.add(s.report()));
        try {
            List<SlotReportResponse> responses =
                    Await.result(
                            peers.exchange(peer, reports, timing.exchangeTimeout()),
                            timing.exchangeTimeout());
            for (int i = 0; i < Math.min(due.size(), responses.size()); i++) {
                due.get(i).onResponse(reports.get(i), responses.get(i));
            }
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log(
                    "slot reports to owner %s failed; the next reports repeat the demand", peer);
            // The next report repeats the demand. The delay limits the request rate to a failing
            // peer.
            park(timing.reportInterval().dividedBy(POLLS_PER_REPORT_INTERVAL));
        }
    }

    private void park(Duration timeout) {
        if (!wake.await(timeout)) {
            closed = true;
        }
    }

    void wake() {
        wake.raise();
    }

    void close() {
        closed = true;
        wake.raise();
    }
}
