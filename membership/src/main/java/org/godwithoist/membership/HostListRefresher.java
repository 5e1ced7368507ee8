package org.godwithoist.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.HostListMessage.Changed;
import org.godwithoist.membership.HostListMessage.Page;
import org.godwithoist.membership.HostListMessage.Request;
import org.godwithoist.membership.HostListMessage.Response;
import org.godwithoist.membership.HostListMessage.Unchanged;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostList;

/**
 * Refreshes the local copy of the host list. A reader reads the list from the platform; the other
 * daemons pull it from a reader. A daemon that does not get a recent list pulls from further peers,
 * and after some time reads from the platform. One task runs the rounds; the counters may be read
 * by any thread.
 */
public final class HostListRefresher {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Timeout of a pull. Two sources can time out and a third one respond within the 3 s in which a
     * draining target must stop getting new work.
     */
    private static final Duration PULL_TIMEOUT = Duration.ofMillis(500);

    /**
     * Maximum number of sources in a round. A failure domain has two readers, so the third source
     * is in another one.
     */
    private static final int MAX_SOURCES_PER_ROUND = 3;

    /** Time for which a source that failed is tried last. */
    private static final Duration SOURCE_AVOID_TIME = Duration.ofSeconds(5);

    /**
     * Number of intervals after which a list is stale; a pull adds one interval to that of a
     * reader.
     */
    private static final int STALE_INTERVALS = 2;

    /** Number of intervals after which a daemon that is not a reader reads from the platform. */
    private static final int FALLBACK_READ_INTERVALS = 3;

    /**
     * Maximum delay between two reads of a daemon that is not a reader. While the platform is down,
     * 940 daemons send it about 42 reads per second instead of 940.
     */
    private static final Duration MAX_FALLBACK_BACKOFF = Duration.ofSeconds(30);

    /** A list with more entries is treated as malformed, so that it cannot exhaust the memory. */
    private static final int MAX_LIST_ENTRIES = 100_000;

    /** Receives the copies that this daemon adopts. */
    @FunctionalInterface
    public interface Listener {
        /** Called with each adopted copy; the content may be that of the previous one. */
        void onAdopted(HostListState.TimestampedCopy current);
    }

    private final HostListState state;
    private final HostListSources sources;
    private final HostList platform;
    private final MembershipConfig config;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final Listener listener;
    private final Map<HostListResult, LongAdder> results = new EnumMap<>(HostListResult.class);
    private final Map<HostId, Long> failedAt = new HashMap<>();
    private final long startedAt;
    private Optional<Long> nextFallbackReadAt = Optional.empty();
    private Duration backoff;
    private int failedRounds;
    private Optional<RuntimeException> lastFailure = Optional.empty();
    private volatile boolean reader;
    private boolean stale;

    /** Creates a refresher; {@link #run} does the work. */
    public HostListRefresher(
            HostListState state,
            HostListSources sources,
            HostList platform,
            MembershipConfig config,
            Ticker ticker,
            RandomGenerator random,
            Listener listener) {
        this.state = state;
        this.sources = sources;
        this.platform = platform;
        this.config = config;
        this.ticker = ticker;
        this.random = random;
        this.listener = listener;
        this.startedAt = ticker.nanos();
        this.backoff = config.hostListInterval();
        for (HostListResult r : HostListResult.values()) {
            results.put(r, new LongAdder());
        }
    }

    /** Returns the number of attempts with a result. */
    public long count(HostListResult result) {
        return results.get(result).sum();
    }

    /** Returns whether this daemon was a reader in the last round. */
    public boolean isReader() {
        return reader;
    }

    // ---- rounds

    /** Refreshes the copy in each interval until the calling task is interrupted. */
    public void run(PeerHostList peers) {
        long interval = config.hostListInterval().toNanos();
        long delay;
        do {
            long start = ticker.nanos();
            runRound(peers);
            // Rounds start at a fixed rate, so that waiting for an unresponsive source does not
            // delay the next round. The minimum delay limits the load on a platform that responds
            // slowly.
            delay = Math.max(interval - (ticker.nanos() - start), interval / 4);
        } while (Tasks.sleep(Duration.ofNanos(delay)));
    }

    /** Refreshes the copy once and waits for the responses. */
    void runRound(PeerHostList peers) {
        reader = sources.isReader();
        boolean read = (reader || fallbackReadDue()) && readFromPlatform();
        if (read) {
            failedRounds = 0;
        } else {
            pull(peers);
        }
        boolean nowStale = isOlderThan(FALLBACK_READ_INTERVALS);
        if (nowStale && !stale) {
            LOG.atWarning().withCause(lastFailure.orElse(null)).log(
                    "cannot refresh the host list; the last one stays in use");
        } else if (stale && !nowStale) {
            LOG.atInfo().log("the host list is refreshed again");
        }
        stale = nowStale;
    }

    private boolean isOlderThan(int intervals) {
        Duration age = state.age().orElseGet(() -> Duration.ofNanos(ticker.nanos() - startedAt));
        return age.compareTo(config.hostListInterval().multipliedBy(intervals)) > 0;
    }

    // ---- platform

    private boolean fallbackReadDue() {
        if (!isOlderThan(FALLBACK_READ_INTERVALS)) {
            nextFallbackReadAt = Optional.empty();
            backoff = config.hostListInterval();
            return false;
        }
        long now = ticker.nanos();
        if (nextFallbackReadAt.isEmpty()) {
            nextFallbackReadAt =
                    Optional.of(now + random.nextLong(config.hostListInterval().toNanos()));
        }
        if (now - nextFallbackReadAt.get() < 0) {
            return false;
        }
        // Half of the delay is random, which spreads out the daemons that lost the same readers.
        long half = backoff.toNanos() / 2;
        nextFallbackReadAt = Optional.of(now + half + random.nextLong(half));
        backoff = Durations.min(backoff.multipliedBy(2), MAX_FALLBACK_BACKOFF);
        return true;
    }

    private boolean readFromPlatform() {
        long sentAt = ticker.nanos();
        try {
            List<HostEntry> hosts = Await.result(platform.list(), config.storeTimeout());
            HostListCopy previous =
                    state.current()
                            .map(HostListState.TimestampedCopy::copy)
                            .orElse(HostListCopy.EMPTY);
            adopt(previous.withContent(hosts), new ReadTime(sentAt, ticker.nanos()));
            recordResult(HostListResult.READ, Optional.empty());
            return true;
        } catch (RuntimeException e) {
            lastFailure = Optional.of(e);
            recordResult(HostListResult.READ_FAILED, Optional.empty());
            return false;
        }
    }

    // ---- peers

    private void pull(PeerHostList peers) {
        // After several rounds without a recent list the platform is probably down for all daemons.
        // One source in each round is sufficient then and does not increase the load of the
        // readers; the sources take turns.
        boolean listKnown = state.current().isPresent();
        int maxSources =
                listKnown && failedRounds >= FALLBACK_READ_INTERVALS ? 1 : MAX_SOURCES_PER_ROUND;
        List<HostId> candidates = new ArrayList<>(sources.sources(listKnown));
        long now = ticker.nanos();
        failedAt.values().removeIf(t -> now - t > SOURCE_AVOID_TIME.toNanos());
        candidates.sort(
                Comparator.comparingLong(
                        h -> failedAt.getOrDefault(h, now - SOURCE_AVOID_TIME.toNanos() - 1)));
        for (HostId source : candidates.subList(0, Math.min(maxSources, candidates.size()))) {
            HostListResult result = pull(peers, source);
            recordResult(result, Optional.of(source));
            if (result.isResponse() && !isOlderThan(STALE_INTERVALS)) {
                failedRounds = 0;
                return;
            }
            // A reader that responds but cannot reach the platform also counts as failed.
            failedAt.put(source, ticker.nanos());
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
        failedRounds++;
    }

    private void recordResult(HostListResult result, Optional<HostId> source) {
        results.get(result).increment();
        if (result == HostListResult.WHOLE) {
            LOG.atInfo().log(
                    "received the complete host list with %d entries from member %s",
                    state.current().orElseThrow().copy().entries().size(), source.orElseThrow());
        }
    }

    private HostListResult pull(PeerHostList peers, HostId source) {
        try {
            Optional<HostListState.TimestampedCopy> current = state.current();
            Request request = Request.changesSince(current.map(h -> h.copy().digest()));
            List<HostEntry> entries = new ArrayList<>();
            while (true) {
                long sentAt = ticker.nanos();
                Response response =
                        Await.result(
                                peers.pull(source, request, PULL_TIMEOUT),
                                PULL_TIMEOUT.multipliedBy(2));
                ReadTime read = ReadTime.ofPeer(sentAt, ticker.nanos(), response.age());
                if (response.content().isEmpty()) {
                    return HostListResult.NONE;
                }
                switch (response.content().get()) {
                    case Unchanged u -> {
                        HostListCopy unchanged =
                                current.orElseThrow(() -> malformed(source)).copy();
                        adopt(unchanged, read);
                        return HostListResult.UNCHANGED;
                    }
                    case Changed c -> {
                        HostListCopy base = current.orElseThrow(() -> malformed(source)).copy();
                        return adoptVerified(source, base.apply(c.changes()), c.digest(), read)
                                ? HostListResult.CHANGES
                                : HostListResult.NOT_YOUNGER;
                    }
                    case Page p -> {
                        if (!state.isNewer(read)) {
                            return HostListResult.NOT_YOUNGER;
                        }
                        if (!isNextPage(p, request, entries.size())) {
                            throw malformed(source);
                        }
                        entries.addAll(p.entries());
                        if (entries.size() == p.total()) {
                            HostListCopy complete = HostListCopy.EMPTY.withContent(entries);
                            return adoptVerified(source, complete, p.digest(), read)
                                    ? HostListResult.WHOLE
                                    : HostListResult.NOT_YOUNGER;
                        }
                        request = Request.page(p.digest(), entries.size());
                    }
                }
            }
        } catch (RuntimeException e) {
            lastFailure = Optional.of(e);
            return HostListResult.PULL_FAILED;
        }
    }

    private static boolean isNextPage(Page page, Request request, int received) {
        int end = received + page.entries().size();
        return page.start() == received
                && end <= page.total()
                && page.total() <= MAX_LIST_ENTRIES
                && (!page.entries().isEmpty() || page.total() == 0)
                && request.page().filter(r -> r.digest() != page.digest()).isEmpty();
    }

    private boolean adoptVerified(HostId source, HostListCopy copy, long digest, ReadTime read) {
        if (copy.digest() != digest) {
            throw malformed(source);
        }
        return adopt(copy, read);
    }

    private boolean adopt(HostListCopy copy, ReadTime read) {
        boolean adopted = state.adopt(copy, read);
        if (adopted) {
            listener.onAdopted(state.current().orElseThrow());
        }
        return adopted;
    }

    private static IllegalArgumentException malformed(HostId source) {
        return new IllegalArgumentException(
                "host list response of member "
                        + source
                        + " is inconsistent with the request or its own digest");
    }
}
