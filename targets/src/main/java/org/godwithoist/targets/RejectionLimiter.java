package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the requests that one target must reject for want of room, while it states how many
 * rejections it survives. A request is sent if it has room for certain, or if this daemon may risk
 * that it is rejected.
 *
 * <p>Room for certain: all daemons know the same free slots from each other's reports, except for
 * requests that are too recent to have been reported. Each daemon sends its part of these slots,
 * until its requests are reported. While reports are missing, the slots themselves are divided.
 *
 * <p>Risk: beyond that, a daemon may have its share of the limit in requests that may be rejected,
 * because the target has not accepted them yet or rejected them in the last second. So the daemons
 * together never cause more rejections, whatever they know of each other. A request is never sent
 * to a target that has no free slot in the view of this daemon. Not thread-safe.
 */
final class RejectionLimiter extends StatedLimit<RejectionLimit> {
    /** Time for which a rejection counts: a second, and a margin for unequal transit times. */
    static final Duration REJECTION_WINDOW = Duration.ofMillis(1200);

    /** Fleets up to this size report to each other directly, larger ones through leaders. */
    private static final int MAX_DIRECT_MEMBERS = 16;

    /** Time within which the other daemons usually know of a request if they report directly. */
    private static final Duration DIRECT_REPORT_DELAY = Duration.ofMillis(250);

    /** Time within which the other daemons usually know of a request through three reports. */
    private static final Duration RELAYED_REPORT_DELAY = Duration.ofSeconds(1);

    /**
     * Time after which a request counts as accepted although its response has not begun. Targets
     * reject at once; one that is silent for a short time may do so when it goes on.
     */
    static final Duration MAX_REJECTION_DELAY = Duration.ofMillis(1500);

    /** Delay after which a target without room is likely to have some. */
    static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /**
     * Reduces the part of a newly joined daemon. If 16 daemons join one after the other, each knows
     * only those before it, and their parts without this add up to 3.4 times the slots.
     */
    private static final int NEWLY_JOINED_DIVISOR = 4;

    /** How a request was permitted. */
    private enum Permit {
        ROOM,
        RISK,
        DENIED
    }

    /** A request that was sent while the limit was in force. */
    static final class SentRequest {
        private final long sentAt;
        private final boolean risked;
        private boolean accepted;

        private SentRequest(long sentAt, boolean risked) {
            this.sentAt = sentAt;
            this.risked = risked;
        }

        private boolean mayBeRejected(long now) {
            return risked && !accepted && now - sentAt < MAX_REJECTION_DELAY.toNanos();
        }
    }

    private final Set<SentRequest> open = new LinkedHashSet<>();
    private final Deque<SentRequest> notAssigned = new ArrayDeque<>();
    private final Deque<Long> rejectedTimes = new ArrayDeque<>();

    /** Returns whether a request may be sent now. */
    boolean permits(Room room, FleetShare share, int salt, long now) {
        return permit(room, share, salt, now) != Permit.DENIED;
    }

    /** Counts a request that is sent now. */
    void recordSent(Room room, FleetShare share, int salt, long now) {
        if (limit().isEmpty()) {
            return;
        }
        boolean risked = permit(room, share, salt, now) != Permit.ROOM;
        SentRequest sent = new SentRequest(now, risked);
        open.add(sent);
        notAssigned.addLast(sent);
    }

    /**
     * Returns the request that was counted first among those that have not been returned yet; empty
     * if there is none.
     */
    Optional<SentRequest> takeSent() {
        return Optional.ofNullable(notAssigned.pollFirst());
    }

    /** Records that the target has accepted a request. */
    void recordAccepted(SentRequest request) {
        request.accepted = true;
    }

    /** Records that the target has rejected a request for want of room. */
    void recordRejected(Optional<SentRequest> request, long now) {
        request.ifPresent(open::remove);
        if (limit().isPresent()) {
            rejectedTimes.addLast(now);
        }
    }

    /** Records that a request has ended. */
    void recordEnded(SentRequest request) {
        open.remove(request);
    }

    private Permit permit(Room room, FleetShare share, int salt, long now) {
        if (limit().isEmpty()) {
            return Permit.ROOM;
        }
        if (room.free() <= 0) {
            return Permit.DENIED;
        }
        int budget = share.of(limit().get().budget(), riskSalt(share, salt));
        int rejected = recentRejections(now);
        // A rejection shows that the view is wrong.
        boolean isTrusted = rejected < Math.max(1, budget);
        if (isTrusted && !room.queued() && hasRoom(room, share, salt, now)) {
            return Permit.ROOM;
        }
        return rejected + riskedRequests(now) < budget ? Permit.RISK : Permit.DENIED;
    }

    /**
     * Returns the salt for the shares of the budget. Where there are fewer units than daemons, the
     * daemons without a part of the free slots have one of the budget.
     */
    private static int riskSalt(FleetShare share, int salt) {
        return salt + share.members() / 2;
    }

    private boolean hasRoom(Room room, FleetShare share, int salt, long now) {
        if (!room.complete()) {
            return room.own() < part(room.slots(), share, salt);
        }
        int unreported = unreportedRequests(reportDelay(share), now);
        return unreported < part(room.free() + unreported, share, salt);
    }

    /**
     * Returns this daemon's part of free slots. A newly joined daemon has one too, because it would
     * have to refuse all requests otherwise; it is smaller, because the other daemons may not know
     * this one yet.
     */
    private static int part(int slots, FleetShare share, int salt) {
        return share.newlyJoined()
                ? share.asKnownMember().of(slots / NEWLY_JOINED_DIVISOR, salt)
                : share.of(slots, salt);
    }

    private static Duration reportDelay(FleetShare share) {
        return share.members() <= MAX_DIRECT_MEMBERS ? DIRECT_REPORT_DELAY : RELAYED_REPORT_DELAY;
    }

    private int unreportedRequests(Duration reportDelay, long now) {
        int count = 0;
        for (SentRequest r : open) {
            count += now - r.sentAt < reportDelay.toNanos() ? 1 : 0;
        }
        return count;
    }

    private int riskedRequests(long now) {
        int count = 0;
        for (SentRequest r : open) {
            count += r.mayBeRejected(now) ? 1 : 0;
        }
        return count;
    }

    private int recentRejections(long now) {
        while (!rejectedTimes.isEmpty()
                && now - rejectedTimes.peekFirst() >= REJECTION_WINDOW.toNanos()) {
            rejectedTimes.pollFirst();
        }
        return rejectedTimes.size();
    }
}
