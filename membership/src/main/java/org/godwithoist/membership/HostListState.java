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
 * The copy of the host list that this daemon has, its age and the copies that it replaced lately.
 * Answers the pulls of peers. Thread-safe.
 */
public final class HostListState {
    /** Entries of a page: about 100 KB, far below the longest message of 4 MiB. */
    static final int PAGE_ENTRIES = 1_000;

    /**
     * Entries of a difference; a larger one is sent as pages, to stay below the longest message.
     */
    static final int MAX_CHANGES = 2_000;

    /** How long a replaced copy is kept, so that peers that still have it get the difference. */
    static final Duration KEPT = Duration.ofSeconds(60);

    /**
     * A copy that this daemon has or had.
     *
     * @param copy the content
     * @param read when the platform returned it
     */
    public record Held(HostListCopy copy, ReadTime read) {}

    private record Replaced(Held held, long at) {}

    private final Ticker ticker;
    private final Deque<Replaced> replaced = new ArrayDeque<>();
    private Optional<Held> held = Optional.empty();

    /** Makes a state without a copy. */
    public HostListState(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns the copy of this daemon; empty until it got one. */
    public synchronized Optional<Held> held() {
        return held;
    }

    /** Returns the time since the platform returned the copy; empty if there is none. */
    public synchronized Optional<Duration> age() {
        return held.map(h -> Duration.ofNanos(ticker.nanos() - h.read().earliest()));
    }

    /** Returns whether a copy read at a given time is certainly younger than the one held. */
    public synchronized boolean isYounger(ReadTime read) {
        return held.isEmpty() || read.isAfter(held.get().read());
    }

    /**
     * Takes a copy if it is certainly younger than the one held.
     *
     * @return whether it was taken
     */
    public synchronized boolean adopt(HostListCopy copy, ReadTime read) {
        if (!isYounger(read)) {
            return false;
        }
        long now = ticker.nanos();
        held.filter(h -> h.copy().digest() != copy.digest())
                .ifPresent(h -> replaced.addFirst(new Replaced(h, now)));
        while (!replaced.isEmpty() && now - replaced.getLast().at() > KEPT.toNanos()) {
            replaced.removeLast();
        }
        held = Optional.of(new Held(copy, read));
        return true;
    }

    /** Answers a pull. */
    public synchronized Response answer(Request request) {
        if (held.isEmpty()) {
            return Response.NONE;
        }
        if (request.page().isPresent()) {
            PageRequest page = request.page().get();
            return find(page.digest())
                    .filter(h -> page.start() < h.copy().entries().size())
                    .map(h -> response(h, page(h.copy(), page.start())))
                    .orElse(Response.NONE);
        }
        return response(held.get(), content(held.get().copy(), request.held()));
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

    private Response response(Held answered, Content content) {
        return new Response(answered.read().age(ticker.nanos()), Optional.of(content));
    }

    private static Page page(HostListCopy copy, int start) {
        int total = copy.entries().size();
        int end = Math.min(total, start + PAGE_ENTRIES);
        return new Page(copy.digest(), start, total, copy.entries().subList(start, end));
    }

    private Optional<Held> find(long digest) {
        if (held.filter(h -> h.copy().digest() == digest).isPresent()) {
            return held;
        }
        return replaced.stream()
                .map(Replaced::held)
                .filter(h -> h.copy().digest() == digest)
                .findFirst();
    }
}
