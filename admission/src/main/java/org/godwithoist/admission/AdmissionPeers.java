package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/** Exchanges admission messages with other daemons, independent of their encoding. Thread-safe. */
public interface AdmissionPeers {
    /** Handles the messages of other daemons; the sender is authenticated. */
    interface Handler {
        /**
         * Processes slot reports and grants slots. Returns one response per report, in the same
         * order.
         */
        List<SlotReportResponse> exchange(HostId from, List<SlotReport> reports);

        /** Returns whether this daemon promises not to take a shard over for one lease duration. */
        boolean promise(HostId from, ShardId shard, long epoch);

        /** Handles the request of a shard's owner for an immediate slot report. */
        void requestReport(HostId from, ShardId shard, long epoch);
    }

    /** Registers the handler. Must be called once, before the daemon listens. */
    void serve(Handler handler);

    /**
     * Sends slot reports to the owner of their shards. The responses have the order of the reports;
     * there may be fewer.
     */
    CompletableFuture<List<SlotReportResponse>> exchange(
            HostId owner, List<SlotReport> reports, Duration timeout);

    /**
     * Asks a takeover candidate for its promise not to take the shard over for one lease duration.
     */
    CompletableFuture<Boolean> promise(
            HostId candidate, ShardId shard, long epoch, Duration timeout);

    /**
     * Asks a holder for an immediate slot report. There is no retry: the next regular report makes
     * up for a lost message.
     */
    void requestReport(HostId holder, ShardId shard, long epoch, Duration timeout);
}
