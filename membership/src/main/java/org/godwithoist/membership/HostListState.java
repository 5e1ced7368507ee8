package org.godwithoist.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.HostListMessage.Changed;
import org.godwithoist.membership.HostListMessage.Content;
import org.godwithoist.membership.HostListMessage.Page;
import org.godwithoist.membership.HostListMessage.PageRequest;
import org.godwithoist.membership.HostListMessage.Request;
import org.godwithoist.membership.HostListMessage.Response;
import org.godwithoist.membership.HostListMessage.Unchanged;

/**
 * Local copy of the host list, its age and the copies that it replaced recently. Responds to the
 * pulls of peers. Thread-safe.
 */
public final class HostListState {
    /**
     * Maximum number of entries in a page: about 100 KB, far below the maximum message size of 4
     * MiB.
     */
    static final int MAX_PAGE_ENTRIES = 1_000;

    /**
     * Maximum number of entries in a difference. A larger one is sent as pages, to stay below the
     * maximum message size.
     */
    static final int MAX_CHANGES = 2_000;

    /**
     * Time for which a replaced copy is retained, so that peers that still have it get the
     * difference.
     */
    static final Duration REPLACED_COPY_RETENTION = Duration.ofSeconds(60);

    /**
     * Current or replaced copy.
     *
     * @param copy the content
     * @param read when the platform returned it
     */
    public record TimestampedCopy(HostListCopy copy, ReadTime read) {}

    private record ReplacedCopy(TimestampedCopy copy, long replacedAt) {}

    private final Ticker ticker;
    private final Deque<ReplacedCopy> replaced = new ArrayDeque<>();
    private Optional<TimestampedCopy> current = Optional.empty();

    /** Creates a state without a copy. */
    public HostListState(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns the current copy; empty until the first one is adopted. */
    public synchronized Optional<TimestampedCopy> current() {
        return current;
    }

    /** Returns the maximum time since the platform returned the copy; empty if there is none. */
    public synchronized Optional<Duration> age() {
        return current.map(h -> Duration.ofNanos(ticker.nanos() - h.read().earliest()));
    }

    /** Returns whether a copy read at a given time is certainly newer than the current one. */
    public synchronized boolean isNewer(ReadTime read) {
        return current.isEmpty() || read.isAfter(current.get().read());
    }

    /**
     * Replaces the current copy if the given one is certainly newer.
     *
     * @return whether it was replaced
     */
    public synchronized boolean adopt(HostListCopy copy, ReadTime read) {
        if (!isNewer(read)) {
            return false;
        }
        long now = ticker.nanos();
        current.filter(h -> h.copy().digest() != copy.digest())
                .ifPresent(h -> replaced.addFirst(new ReplacedCopy(h, now)));
        while (!replaced.isEmpty()
                && now - replaced.getLast().replacedAt() > REPLACED_COPY_RETENTION.toNanos()) {
            replaced.removeLast();
        }
        current = Optional.of(new TimestampedCopy(copy, read));
        return true;
    }

    /** Responds to a pull. */
    public synchronized Response respond(Request request) {
        if (current.isEmpty()) {
            return Response.NONE;
        }
        if (request.page().isPresent()) {
            PageRequest page = request.page().get();
            return find(page.digest())
                    .filter(h -> page.start() < h.copy().entries().size())
                    .map(h -> response(h, page(h.copy(), page.start())))
                    .orElse(Response.NONE);
        }
        return response(current.get(), content(current.get().copy(), request.baseDigest()));
    }

    private Content content(HostListCopy copy, Optional<Long> base) {
        if (base.filter(d -> d == copy.digest()).isPresent()) {
            return new Unchanged();
        }
        return base.flatMap(this::find)
                .map(h -> h.copy().changesTo(copy))
                .filter(c -> c.size() <= MAX_CHANGES)
                .<Content>map(c -> new Changed(copy.digest(), c))
                .orElseGet(() -> page(copy, 0));
    }

    private Response response(TimestampedCopy copy, Content content) {
        return new Response(copy.read().age(ticker.nanos()), Optional.of(content));
    }

    private static Page page(HostListCopy copy, int start) {
        int total = copy.entries().size();
        int end = Math.min(total, start + MAX_PAGE_ENTRIES);
        return new Page(copy.digest(), start, total, copy.entries().subList(start, end));
    }

    private Optional<TimestampedCopy> find(long digest) {
        if (current.filter(h -> h.copy().digest() == digest).isPresent()) {
            return current;
        }
        return replaced.stream()
                .map(ReplacedCopy::copy)
                .filter(h -> h.copy().digest() == digest)
                .findFirst();
    }
}
