package org.godwithoist.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.store.HostEntry;

/** The messages with which a daemon pulls the host list from a peer. */
public final class HostListMessage {
    private HostListMessage() {}

    /**
     * Asks for the copy of a peer, or for a page of it.
     *
     * @param held digest of the copy that the sender has
     * @param page the page that is asked for; empty to ask for what changed since {@code held}
     */
    public record Request(Optional<Long> baseDigest, Optional<PageRequest> page) {
        /** Returns a request for what changed. */
        public static Request changesSince(Optional<Long> held) {
            return new Request(held, Optional.empty());
        }

        /** Returns a request for a page. */
        public static Request page(long digest, int start) {
            return new Request(Optional.empty(), Optional.of(new PageRequest(digest, start)));
        }
    }

    /**
     * Names a page of a copy.
     *
     * @param digest digest of the copy
     * @param start number of entries before the page
     */
    public record PageRequest(long digest, int start) {}

    /**
     * The answer of a peer.
     *
     * @param age when the platform returned the copy
     * @param content empty if the peer has no copy, or no longer has the one that was asked for
     */
    public record Response(Age age, Optional<Content> content) {
        /** The answer of a peer without a copy. */
        public static final Response NONE =
                new Response(new Age(Duration.ZERO, Duration.ZERO), Optional.empty());
    }

    /** Bounds of the time since the platform returned a copy. */
    public record Age(Duration oldest, Duration youngest) {}

    /** What an answer says about the copy of the peer. */
    public sealed interface Content {}

    /** The peer has the copy that the sender has. */
    public record Unchanged() implements Content {}

    /**
     * The difference to the copy that the sender has.
     *
     * @param digest digest of the copy of the peer
     */
    public record Changed(long digest, HostListCopy.Changes changes) implements Content {}

    /**
     * A part of the copy of the peer, which does not know the copy that the sender has.
     *
     * @param digest digest of the copy
     * @param start number of entries before the page
     * @param total number of entries of the copy
     */
    public record Page(long digest, int start, int total, List<HostEntry> entries)
            implements Content {}
}
