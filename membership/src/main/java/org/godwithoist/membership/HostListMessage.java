package org.godwithoist.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.store.HostEntry;

/** Messages with which a daemon pulls the host list from a peer. */
public final class HostListMessage {
    private HostListMessage() {}

    /**
     * Requests the changes since a copy, or a page of a copy.
     *
     * @param baseDigest digest of the sender's copy; empty if it has none
     * @param page requested page; empty to request the changes since the base
     */
    public record Request(Optional<Long> baseDigest, Optional<PageRequest> page) {
        /**
         * Returns a request for the changes since a copy, or for the first page if there is none.
         */
        public static Request changesSince(Optional<Long> baseDigest) {
            return new Request(baseDigest, Optional.empty());
        }

        /**
         * Returns a request for the page of a copy that starts after the given number of entries.
         */
        public static Request page(long digest, int start) {
            return new Request(Optional.empty(), Optional.of(new PageRequest(digest, start)));
        }
    }

    /**
     * Identifies a page of a copy.
     *
     * @param digest digest of the copy
     * @param start number of entries before the page
     */
    public record PageRequest(long digest, int start) {}

    /**
     * Response of a peer.
     *
     * @param age time since the platform returned the copy
     * @param content empty if the peer has no copy, or no longer retains the requested one
     */
    public record Response(Age age, Optional<Content> content) {
        /** Response of a peer that has no content to send. */
        public static final Response NONE =
                new Response(new Age(Duration.ZERO, Duration.ZERO), Optional.empty());
    }

    /**
     * Bounds of the time since the platform returned a copy.
     *
     * @param max maximum age
     * @param min minimum age
     */
    public record Age(Duration max, Duration min) {}

    /** Content of a response. */
    public sealed interface Content {}

    /** The peer has the same copy as the sender. */
    public record Unchanged() implements Content {}

    /**
     * Difference from the sender's copy to the peer's copy.
     *
     * @param digest digest of the peer's copy
     */
    public record Changed(long digest, HostListCopy.Changes changes) implements Content {}

    /**
     * Page of the peer's copy, sent if the peer does not retain the sender's copy.
     *
     * @param digest digest of the copy
     * @param start number of entries before the page
     * @param total number of entries of the copy
     */
    public record Page(long digest, int start, int total, List<HostEntry> entries)
            implements Content {}
}
