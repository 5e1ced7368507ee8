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
 * Keeps the copy of the host list up to date. A reader reads it from the platform, the others pull
 * it from a reader. A daemon that gets no list that is young enough asks further peers, and after
 * some time the platform. One task runs the rounds; the counters may be read by any thread.
 */
public final class HostListRefresher {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * A pull must fail early enough that two sources can fail and a third one answer within the 3 s
     * in which a leaving target must get no new work.
     */
    private static final Duration PULL_TIMEOUT = Duration.ofMillis(500);

    /** Sources asked in a round; the third one is in another failure domain. */
    private static final int MAX_SOURCES_PER_ROUND = 3;

    /** How long a source that failed is asked last. */
    private static final Duration SOURCE_AVOID_TIME = Duration.ofSeconds(5);

    /** Intervals after which a list counts as old; a pull adds one interval to that of a reader. */
    private static final int STALE_INTERVALS = 2;

    /** Intervals after which a daemon that is no reader asks the platform. */
    private static final int FALLBACK_READ_INTERVALS = 3;

    /**
     * Longest time between two reads of a daemon that is no reader. While the platform is down, 940
     * daemons send it about 42 reads per second in place of 940.
     */
    private static final Duration MAX_FALLBACK_BACKOFF = Duration.ofSeconds(30);

    /** More entries than this are taken for a malformed message. */
    private static final int MAX_ENTRIES = 100_000;

    /** Takes the copies that this daemon adopts. */
    @FunctionalInterface
    public interface Listener {
        /** Takes a copy; the content may be that of the copy before. */
        void onAdopted(HostListState.TimestampedCopy held);
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

    /** Makes a follower; {@link #run} does the work. */
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

    /** Returns how many attempts ended with a result. */
    public long count(HostListResult result) {
        return results.get(result).sum();
    }

    /** Returns whether this daemon was a reader in the last round. */
    public boolean isReader() {
        return reader;
    }

    // ---- rounds

    /** Brings the copy up to date in each interval until the calling task is interrupted. */
    public void run(PeerHostList peers) {
        long interval = config.hostListInterval().toNanos();
        long rest;
        do {
            long start = ticker.nanos();
            runRound(peers);
            // At a fixed rate, because the wait for a source that does not answer must not delay
            // the next round; the pause spares a platform that answers slowly.
            rest = Math.max(interval - (ticker.nanos() - start), interval / 4);
        } while (Tasks.sleep(Duration.ofNanos(rest)));
    }

    /** Brings the copy up to date once; waits for the answers. */
    void runRound(PeerHostList peers) {
        reader = sources.isReader();
        boolean read = (reader || fallbackReadDue()) && readFromPlatform();
        if (read) {
            failedRounds = 0;
        } else {
            pull(peers);
        }
        boolean oldNow = isOlderThan(FALLBACK_READ_INTERVALS);
        if (oldNow && !stale) {
            LOG.atWarning().withCause(lastFailure.orElse(null)).log(
                    "cannot read the host list; the last one stays in use");
        } else if (stale && !oldNow) {
            LOG.atInfo().log("the host list can be read again");
        }
        stale = oldNow;
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
        // Half of the wait is random, so that the daemons that lost the same readers spread out.
        long half = backoff.toNanos() / 2;
        nextFallbackReadAt = Optional.of(now + half + random.nextLong(half));
        backoff = Durations.min(backoff.multipliedBy(2), MAX_FALLBACK_BACKOFF);
        return true;
    }

    private boolean readFromPlatform() {
        long sentAt = ticker.nanos();
        try {
            List<HostEntry> hosts = Await.result(platform.list(), config.storeTimeout());
            HostListCopy last =
                    state.current()
                            .map(HostListState.TimestampedCopy::copy)
                            .orElse(HostListCopy.EMPTY);
            adopt(last.withContent(hosts), new ReadTime(sentAt, ticker.nanos()));
            count(HostListResult.READ, Optional.empty());
            return true;
        } catch (RuntimeException e) {
            lastFailure = Optional.of(e);
            count(HostListResult.READ_FAILED, Optional.empty());
            return false;
        }
    }

    // ---- peers

    private void pull(PeerHostList peers) {
        // After some rounds without a young list the platform is probably down for all. One source
        // in each round is enough then and keeps the load of the readers as it is; the sources
        // take turns.
        boolean known = state.current().isPresent();
        int most = known && failedRounds >= FALLBACK_READ_INTERVALS ? 1 : MAX_SOURCES_PER_ROUND;
        List<HostId> order = new ArrayList<>(sources.sources(known));
        long now = ticker.nanos();
        failedAt.values().removeIf(t -> now - t > SOURCE_AVOID_TIME.toNanos());
        order.sort(
                Comparator.comparingLong(
                        h -> failedAt.getOrDefault(h, now - SOURCE_AVOID_TIME.toNanos() - 1)));
        for (HostId source : order.subList(0, Math.min(most, order.size()))) {
            HostListResult result = pull(peers, source);
            count(result, Optional.of(source));
            if (result.isResponse() && !isOlderThan(STALE_INTERVALS)) {
                failedRounds = 0;
                return;
            }
            // This also avoids a reader that answers but does not reach the platform.
            failedAt.put(source, ticker.nanos());
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
        failedRounds++;
    }

    private void count(HostListResult result, Optional<HostId> source) {
        results.get(result).increment();
        if (result == HostListResult.WHOLE) {
            LOG.atInfo().log(
                    "took the whole host list with %d entries from member %s",
                    state.current().orElseThrow().copy().entries().size(), source.orElseThrow());
        }
    }

    private HostListResult pull(PeerHostList peers, HostId source) {
        try {
            Optional<HostListState.TimestampedCopy> held = state.current();
            Request request = Request.changesSince(held.map(h -> h.copy().digest()));
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
                        HostListCopy same = held.orElseThrow(() -> malformed(source)).copy();
                        adopt(same, read);
                        return HostListResult.UNCHANGED;
                    }
                    case Changed c -> {
                        HostListCopy base = held.orElseThrow(() -> malformed(source)).copy();
                        return adoptVerified(source, base.apply(c.changes()), c.digest(), read)
                                ? HostListResult.CHANGES
                                : HostListResult.NOT_YOUNGER;
                    }
                    case Page p -> {
                        if (!state.isNewer(read)) {
                            return HostListResult.NOT_YOUNGER;
                        }
                        if (!isNext(p, request, entries.size())) {
                            throw malformed(source);
                        }
                        entries.addAll(p.entries());
                        if (entries.size() == p.total()) {
                            HostListCopy whole = HostListCopy.EMPTY.withContent(entries);
                            return adoptVerified(source, whole, p.digest(), read)
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

    private static boolean isNext(Page page, Request request, int received) {
        int end = received + page.entries().size();
        return page.start() == received
                && end <= page.total()
                && page.total() <= MAX_ENTRIES
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
                "the host list of member " + source + " does not fit what was asked for");
    }
}
