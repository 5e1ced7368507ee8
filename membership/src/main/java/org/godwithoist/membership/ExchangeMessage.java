package org.godwithoist.membership;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/** Contents of the exchange messages between daemons, independent of their encoding. */
public final class ExchangeMessage {
    private ExchangeMessage() {}

    /**
     * Request of one round.
     *
     * @param incarnation incarnation of the sender
     * @param ordersDigest digest of the sender's orders
     * @param orders orders for the receiver
     * @param sender the sender, until the receiver knows its incarnation
     * @param wantMembers requests the members that the receiver is in contact with
     * @param leaving the sender stops
     * @param groups number of groups at the sender
     * @param wantedGroups groups whose summaries the sender requests
     * @param memberDigests with {@code wantMembers}: digests of the members of each group that the
     *     sender is in contact with; the response omits groups with the same digest
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
     * Response to a round.
     *
     * @param incarnation incarnation of the receiver
     * @param ordersDigest digest of the receiver's orders after the merge
     * @param orders all orders of the receiver, if its digest differs from that of the request
     * @param membersDigest digest of the members that the receiver is in contact with
     * @param members those members, if requested
     * @param senderUnknown the receiver does not know the incarnation of the sender
     * @param ordersKnown the receiver has read the orders from the store or from a peer that has
     *     them
     * @param groups number of groups at the receiver
     * @param summaries summaries of the requested groups
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
