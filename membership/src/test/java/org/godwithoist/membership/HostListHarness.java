package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostList;

/** Host list of one daemon whose rounds a measurement runs; all members are in contact. */
public final class HostListHarness {
    private final HostListState state;
    private final HostListRefresher refresher;

    /**
     * Creates a daemon without a list.
     *
     * @param readCounter called with 1 for each read of the platform
     */
    public HostListHarness(
            Member self,
            List<Member> all,
            HostList platform,
            Ticker ticker,
            LongConsumer readCounter) {
        state = new HostListState(ticker);
        HostList counted =
                () -> {
                    readCounter.accept(1);
                    return platform.list();
                };
        refresher =
                new HostListRefresher(
                        state,
                        new HostListSources(new ListedMembers(self, all, Set.of(), Set.of())),
                        counted,
                        MembershipConfig.DEFAULT,
                        ticker,
                        new SplittableRandom(self.host().hashCode()),
                        h -> {});
    }

    /** Runs one round. */
    public void runRound(PeerHostList peers) {
        refresher.runRound(peers);
    }

    /** Returns the state, which responds to pulls. */
    public HostListState state() {
        return state;
    }

    /** Returns the digest of the local copy; empty if there is none. */
    public Optional<Long> digest() {
        return state.current().map(h -> h.copy().digest());
    }

    /** Returns whether the local copy contains an entry. */
    public boolean contains(HostEntry entry) {
        return state.current().filter(h -> h.copy().entries().contains(entry)).isPresent();
    }
}
