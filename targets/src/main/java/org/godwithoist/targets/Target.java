package org.godwithoist.targets;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;

/** One incarnation of a target and this daemon's local view of it. Thread-safe. */
public final class Target {
    /** Age at which a load report has no weight any more; until then, it loses weight linearly. */
    private static final double REPORT_TTL_NANOS = Duration.ofSeconds(2).toNanos();

    /** Age up to which a load report shows the room at a target. */
    private static final long RECENT_REPORT_NANOS = Duration.ofMillis(300).toNanos();

    /** Time after which an engine has cached the prefixes that map to it and are still in use. */
    private static final long CACHE_FILL_NANOS = Duration.ofSeconds(12).toNanos();

    /** A request that waits for the first byte of its response. */
    public static final class PendingResponse {
        private final long sentAt;
        private final double latencyWeight;
        private final RequestWork work;
        private final Optional<RejectionLimiter.SentRequest> sent;
        private boolean ended;

        private PendingResponse(
                long sentAt,
                double latencyWeight,
                RequestWork work,
                Optional<RejectionLimiter.SentRequest> sent) {
            this.sentAt = sentAt;
            this.latencyWeight = latencyWeight;
            this.work = work;
            this.sent = sent;
        }

        long sentAt() {
            return sentAt;
        }
    }

    /**
     * Load that the target has reported.
     *
     * @param others requests of other daemons
     * @param waiting requests in the target's own queue
     * @param at time of the report
     * @param known whether there was a report
     */
    private record ReportedLoad(int others, int waiting, long at, boolean known) {
        static final ReportedLoad NONE = new ReportedLoad(0, 0, 0, false);

        boolean isRecent(long now) {
            return known && now - at < RECENT_REPORT_NANOS;
        }
    }

    private final Ticker ticker;
    private final long listedAt;
    private final boolean inInitialList;
    private final ColdRateLimiter coldLimiter = new ColdRateLimiter();
    private final TargetHealth health = new TargetHealth();
    private final PrefixCacheView prefixCache = new PrefixCacheView();
    private final RecentPrefixes recentPrefixes = new RecentPrefixes();
    private volatile TargetEntry entry;
    private volatile boolean removed;
    private final long rendezvousHash;
    private volatile int inFlight;
    private volatile ReportedLoad reportedLoad = ReportedLoad.NONE;
    private final TargetKey key;
    private final TargetWork work;
    private final ResponseWaits waits = new ResponseWaits();
    private final LatencyAverage latencyAverage = new LatencyAverage();
    private volatile boolean leaving;
    private final RequestPause pause = new RequestPause();
    private final RecurringFault unrequestedResponses = new RecurringFault();
    private final RecurringFault cutBodies = new RecurringFault();
    private final TargetLimits limits;

    /**
     * Creates a target; the time in the list counts from now.
     *
     * @param inInitialList whether the target was in the first list that this daemon read, so that
     *     it may have run for a long time
     * @param limitObserver receives the changes of the limits that the target states
     * @param speed speed of the target's service
     */
    Target(
            TargetEntry entry,
            boolean inInitialList,
            LimitObserver limitObserver,
            ServiceSpeed speed,
            Ticker ticker) {
        this.entry = entry;
        key = TargetKey.of(entry.id());
        rendezvousHash = CachedPrompt.rendezvousHash(entry.id());
        work = new TargetWork(speed, ticker);
        this.ticker = ticker;
        limits = new TargetLimits(this, limitObserver, ticker);
        this.inInitialList = inInitialList;
        listedAt = ticker.nanos();
        coldLimiter.setColdFor(entry.remainingColdTime(), ticker.nanos());
    }

    /** Returns the current entry of the target. */
    public TargetEntry entry() {
        return entry;
    }

    /** Returns the id, which is the same for all incarnations of the target. */
    public TargetId id() {
        return entry.id();
    }

    /** Returns whether the target was removed from the list or replaced by a new incarnation. */
    public boolean isRemoved() {
        return removed;
    }

    void setRemoved(boolean value) {
        removed = value;
    }

    /**
     * Returns whether the target has announced in a response that it is leaving. An incarnation
     * that leaves never returns, whatever its entry in the store says.
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Records that the target is leaving, so that it gets no new requests. To be announced to the
     * directory with {@link TargetDirectory#recordLeaving}, which also informs the other daemons.
     */
    void setLeaving() {
        leaving = true;
    }

    /** Records that the target accepts no requests of this daemon for a time. */
    public synchronized void pauseFor(Duration time) {
        pause.extend(time, ticker.nanos());
    }

    /** Returns the time for which the target still accepts no requests of this daemon, or zero. */
    public synchronized Duration remainingPause() {
        return pause.remaining(ticker.nanos());
    }

    /** Returns whether the target currently accepts no requests of this daemon. */
    boolean isPaused(long now) {
        return pause.isActive(now);
    }

    /**
     * Returns whether the target may be asked about itself. One that has asked for a pause, or that
     * limits its requests or rejections, gets no questions, because they would count as requests.
     */
    public synchronized boolean acceptsQuestions() {
        return !pause.isActive(ticker.nanos())
                && limits.rate().isEmpty()
                && limits.rejections().isEmpty();
    }

    // ---- limits that the target states

    /** Returns the limits that the target states in its responses. */
    public TargetLimits limits() {
        return limits;
    }

    /** Returns what the other daemons are to be told about the rate limit. */
    Optional<LimitNews<RateLimit>> rateNews() {
        return limits.rateNews(entry.incarnation());
    }

    /** Returns what the other daemons are to be told about the rejection limit. */
    Optional<LimitNews<RejectionLimit>> rejectionNews() {
        return limits.rejectionNews(entry.incarnation());
    }

    /** Returns the time until the rate limit permits a request of this daemon, or zero. */
    Duration rateWait(FleetShare share, long now) {
        return limits.rateWait(share, now);
    }

    /** Records that the target has rejected a request for want of room. */
    public void recordRejection(PendingResponse pendingResponse) {
        limits.recordRejected(pendingResponse.sent);
    }

    /** Returns whether the target may get a request without failing by its rejection. */
    boolean hasRoom(FleetShare share, PeerLoads.View peers, long now) {
        return !limits.limitsRejections() || limits.permits(room(peers, now), share, now);
    }

    private Room room(PeerLoads.View peers, long now) {
        ReportedLoad reported = reportedLoad;
        boolean isRecent = reported.isRecent(now);
        int others = Math.max(peers.requests(id()), isRecent ? reported.others() : 0);
        boolean queued = isRecent && reported.waiting() > 0;
        return new Room(entry.slots(), others, inFlight, queued, peers.complete());
    }

    /** Returns the time until the target may get a request of this daemon, or zero. */
    synchronized Duration remainingWait(FleetShare share, PeerLoads.View peers) {
        long now = ticker.nanos();
        Duration room = hasRoom(share, peers, now) ? Duration.ZERO : RejectionLimiter.RETRY_DELAY;
        return Durations.max(room, Durations.max(remainingPause(), rateWait(share, now)));
    }

    // ---- responses that nobody waits for

    /** Records that the target has sent a response, or a part of one, that nobody waited for. */
    public synchronized void recordUnrequestedResponse() {
        unrequestedResponses.record(ticker.nanos());
    }

    /** Records that the target has ended a body before it was complete, without a sign of it. */
    public synchronized void recordCutBody() {
        cutBodies.record(ticker.nanos());
    }

    /** Returns whether an end that the target does not state is no evidence of a complete body. */
    public synchronized boolean isKnownToCutBodies() {
        return cutBodies.isExpected(ticker.nanos());
    }

    /**
     * Returns whether a connection to the target may carry another request: whether the target is
     * there, and no response that nobody waits for is expected to arrive before the next one.
     */
    public synchronized boolean permitsConnectionReuse() {
        return !removed && !leaving && !unrequestedResponses.isExpected(ticker.nanos());
    }

    /** Returns whether the target is going away, so that it never gets a new request. */
    public boolean isGoingAway() {
        return removed || leaving || entry.draining();
    }

    synchronized void update(TargetEntry next) {
        entry = next;
        coldLimiter.setColdFor(next.remainingColdTime(), ticker.nanos());
    }

    // ---- requests

    /**
     * Counts a request that is about to be sent.
     *
     * @param coldPerSecond requests per second that this daemon may send while the target is cold
     * @param share this daemon's share of the limits of the target
     * @param peers requests of the other daemons
     * @param allowEjected whether an ejected target may get the request
     * @return false if the target may not get the request
     */
    synchronized boolean tryBegin(
            int coldPerSecond, FleetShare share, PeerLoads.View peers, boolean allowEjected) {
        long now = ticker.nanos();
        if (!hasRoom(share, peers, now) || !permits(coldPerSecond, share, allowEjected, now)) {
            return false;
        }
        coldLimiter.recordSent(now);
        limits.recordSent(room(peers, now), share, now);
        health.recordSent(now);
        inFlight++;
        return true;
    }

    private boolean permits(int coldPerSecond, FleetShare share, boolean allowEjected, long now) {
        if (isGoingAway() || pause.isActive(now) || !coldLimiter.permits(coldPerSecond, now)) {
            return false;
        }
        if (!rateWait(share, now).isZero()) {
            return false;
        }
        return allowEjected || health.permits(now);
    }

    /** Counts the end of a request and records its outcome for the health of the target. */
    public synchronized void end(Verdict verdict) {
        inFlight--;
        health.record(verdict, ticker.nanos());
    }

    /** Records that a request of unknown size waits for the first byte of its response. */
    public PendingResponse startWaiting() {
        return startWaiting(RequestWork.NONE);
    }

    /** Records that a request waits for the first byte of its response. */
    public synchronized PendingResponse startWaiting(RequestWork requestWork) {
        long now = ticker.nanos();
        PendingResponse pendingResponse =
                new PendingResponse(
                        now, latencyAverage.weight(now), requestWork, limits.takeSent());
        latencyAverage.recordSent(now);
        waits.add(pendingResponse);
        work.requestSent(requestWork);
        return pendingResponse;
    }

    /**
     * Records that a request neither waits nor holds memory any more, because it ended, with or
     * without a response.
     */
    public synchronized void stopWaiting(PendingResponse pendingResponse) {
        if (waits.remove(pendingResponse)) {
            work.prefillEnded(pendingResponse.work);
        }
        if (!pendingResponse.ended) {
            pendingResponse.ended = true;
            pendingResponse.sent.ifPresent(limits::recordEnded);
            work.released(pendingResponse.work);
        }
    }

    /** Records the first byte of a response and updates the latency. */
    public synchronized void responseStarted(PendingResponse pendingResponse) {
        if (!waits.remove(pendingResponse)) {
            return;
        }
        pendingResponse.sent.ifPresent(limits::recordAccepted);
        long now = ticker.nanos();
        double ms = waits.responseStarted(pendingResponse, now);
        double usualMs = ms / work.workTimeFactor();
        latencyAverage.recordResponse(usualMs, pendingResponse.latencyWeight, now);
        work.recordResponse(pendingResponse.work, ms);
    }

    /** Returns the number of requests that wait for the first byte of their response. */
    public synchronized int waitingRequests() {
        return waits.size();
    }

    /** Returns whether a request has waited for its first byte for longer than a time. */
    public synchronized boolean hasKeptWaiting(Duration time) {
        return waits.isAnyOlderThan(time, ticker.nanos());
    }

    /** Returns whether a response of the target began within a time. */
    public synchronized boolean hasRespondedWithin(Duration time) {
        return waits.hasRespondedWithin(time, ticker.nanos());
    }

    /** Records that the target has cached a prompt prefix for a request of this daemon. */
    public synchronized void recordCachedPrefix(PrefixKey prefix) {
        long now = ticker.nanos();
        prefixCache.recordUse(prefix, now);
        recentPrefixes.add(prefix, now);
    }

    /** Records that the target has cached a prompt prefix for another daemon. */
    synchronized void recordPeerCachedPrefix(PrefixKey prefix) {
        prefixCache.recordUse(prefix, ticker.nanos());
    }

    /** Returns the prefixes that the target has recently cached for this daemon. */
    synchronized List<CachedPrefix> recentPrefixes() {
        return recentPrefixes.at(id(), ticker.nanos());
    }

    /** Records a load that the target reports. */
    public synchronized void recordLoad(LoadReport load) {
        int others = Math.max(0, load.total() - inFlight);
        reportedLoad = new ReportedLoad(others, load.waiting(), ticker.nanos(), true);
        load.workTimePercent().ifPresent(work::recordReport);
    }

    /** Returns whether the target has reported how long work takes on its host. */
    public boolean reportsWorkTime() {
        return work.reportsWorkTime();
    }

    /** Returns the work that this daemon has sent to the target, and how long work takes there. */
    public TargetWork work() {
        return work;
    }

    /** Returns the short form of the id. */
    TargetKey key() {
        return key;
    }

    /** Returns the hash of the id from which rendezvous weights are computed. */
    long rendezvousHash() {
        return rendezvousHash;
    }

    // ---- load, latency and cache estimates

    /**
     * Returns whether the target has been listed for long enough to have cached the prefixes that
     * map to it.
     */
    public boolean prefixCacheFilled() {
        return prefixCacheFilled(ticker.nanos());
    }

    boolean prefixCacheFilled(long now) {
        return inInitialList || now - listedAt >= CACHE_FILL_NANOS;
    }

    /** Returns when the target last used a prompt prefix; empty if the prefix is not cached. */
    synchronized Optional<Long> lastUse(PrefixKey prefix, long now) {
        return prefixCache.lastUse(prefix, now);
    }

    /** Returns whether the target is estimated to have a prompt prefix cached. */
    public boolean hasCachedPrefix(PrefixKey prefix) {
        return hasCachedPrefix(prefix, ticker.nanos());
    }

    boolean hasCachedPrefix(PrefixKey prefix, long now) {
        return lastUse(prefix, now).isPresent();
    }

    /** Returns the requests of this daemon in flight at the target. */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Requests of other daemons at a target.
     *
     * @param requests requests as last reported
     * @param weight weight of the report, from 1 when it is new to 0
     */
    public record OtherRequests(int requests, double weight) {}

    /** Returns the estimated requests of other daemons; weight 0 if the target has not reported. */
    public OtherRequests otherRequests() {
        return otherRequests(ticker.nanos());
    }

    OtherRequests otherRequests(long now) {
        ReportedLoad reported = reportedLoad;
        if (!reported.known()) {
            return new OtherRequests(0, 0);
        }
        double age = now - reported.at();
        return new OtherRequests(reported.others(), Math.clamp(1 - age / REPORT_TTL_NANOS, 0, 1));
    }

    /**
     * Returns the requests in the target's own queue as last reported; the number falls linearly to
     * 0 as the report gets older.
     */
    public double reportedWaiting() {
        return reportedLoad.waiting() * otherRequests().weight();
    }

    /**
     * Returns the moving average of the time to the first byte of a response, in milliseconds;
     * infinite if the target has not responded yet.
     */
    synchronized double averageLatencyMs() {
        return latencyAverage.averageMs();
    }

    /**
     * Returns the expected time to the first byte of a response, in milliseconds. Old responses
     * lose weight, so that a target that was slow is tried again.
     *
     * @param substituteMs latency assumed as far as the responses have lost their weight
     */
    synchronized double expectedLatencyMs(double substituteMs) {
        return latencyAverage.expectedMs(substituteMs, ticker.nanos());
    }

    /**
     * Takes the probe of a target that responded slowly, if one is due and no request waits for a
     * response.
     *
     * @return whether the next request may be sent as a probe
     */
    synchronized boolean takeProbe() {
        return waits.isEmpty() && latencyAverage.takeProbe(ticker.nanos());
    }

    /**
     * Returns how long a request would wait for its first byte, in milliseconds, estimated from
     * recent responses and from the request that has been waiting longest. Old responses lose
     * weight, so that a target that was slow is tried again.
     */
    public double recentWaitMs() {
        return waits.snapshot().recentWaitMs(ticker.nanos());
    }

    /** Returns how long recent requests waited. */
    ResponseWaits.Snapshot waits() {
        return waits.snapshot();
    }

    /** Returns whether the target is cold, so that its request rate is limited. */
    public synchronized boolean isCold() {
        return coldLimiter.isCold(ticker.nanos());
    }

    /** Returns the current health; an ejection that has ended counts as probation. */
    public synchronized HealthState health() {
        return health.state(ticker.nanos());
    }

    @Override
    public String toString() {
        return id().value();
    }
}
