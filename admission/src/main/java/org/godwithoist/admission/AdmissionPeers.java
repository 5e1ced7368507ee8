package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/** Messages of admission between daemons, free of their encoding. Thread-safe. */
public interface AdmissionPeers {
    /** Answers the messages of other daemons; the caller is authenticated. */
    interface Handler {
        /** Takes reports and grants slots; one answer for each report. */
        List<SlotReportResponse> exchange(HostId from, List<SlotReport> reports);

        /** Returns whether this daemon promises not to take a shard over. */
        boolean promise(HostId from, ShardId shard, long epoch);

        /** Takes the request of a shard's owner for a report now. */
        void requestReport(HostId from, ShardId shard, long epoch);
    }

    /** Registers the handler. Must be called once, before the daemon listens. */
    void serve(Handler handler);

    /** Sends reports to the owner of their shards. */
    CompletableFuture<List<SlotReportResponse>> exchange(
            HostId owner, List<SlotReport> reports, Duration timeout);

    /** Asks a candidate for its promise. */
    CompletableFuture<Boolean> promise(
            HostId candidate, ShardId shard, long epoch, Duration timeout);

    /** Asks a holder to report now. A lost message is repaired by the next regular report. */
    void requestReport(HostId holder, ShardId shard, long epoch, Duration timeout);
}
