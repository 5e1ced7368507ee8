package org.godwithoist.membership;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/** Contents of the messages that daemons exchange, free of their encoding. */
public final class ExchangeMessage {
    private ExchangeMessage() {}

    /**
     * One round.
     *
     * @param incarnation run of the sender
     * @param ordersDigest digest of the sender's orders
     * @param orders orders for the receiver
     * @param sender the sender itself, until the receiver knows this run of it
     * @param wantMembers asks for the members that the receiver is in contact with
     * @param leaving the sender stops
     * @param groups number of groups that the sender computes
     * @param wantedGroups groups whose summaries the sender asks for
     * @param memberDigests with {@code wantMembers}: digests of the members of each group that the
     *     sender is in contact with; groups with the same digest are left out of the answer
     */
    public record Request(
            long incarnation,
            long ordersDigest,
            List<Order> orders,
            Optional<Member> sender,
            boolean wantMembers,
            boolean leaving,
            int groups,
            BitSet wantedGroups,
            List<Integer> memberDigests) {}

    /**
     * Answer to a round.
     *
     * @param incarnation run of the receiver
     * @param ordersDigest digest of the receiver's orders after the merge
     * @param orders all orders of the receiver, if its digest differs from that of the request
     * @param membersDigest digest of the members that the receiver is in contact with
     * @param members those members, if asked for
     * @param senderUnknown the receiver does not know this run of the sender
     * @param ordersKnown the receiver has the orders of the store or of a peer that has them
     * @param groups number of groups that the receiver computes
     * @param summaries summaries of the groups asked for
     */
    public record Response(
            long incarnation,
            long ordersDigest,
            List<Order> orders,
            long membersDigest,
            List<Member> members,
            boolean senderUnknown,
            boolean ordersKnown,
            int groups,
            List<GroupSummary> summaries) {}
}
