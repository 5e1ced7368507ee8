package org.godwithoist.membership.wire;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.membership.ExchangeMessage;
import org.godwithoist.membership.GroupId;
import org.godwithoist.membership.GroupLayout;
import org.godwithoist.membership.GroupSummary;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.Order;
import org.godwithoist.membership.OrderStamp;
import org.godwithoist.membership.OrderState;
import org.godwithoist.membership.OrderSubject;
import org.godwithoist.membership.wire.generated.ExchangeRequest;
import org.godwithoist.membership.wire.generated.ExchangeResponse;
import org.godwithoist.membership.wire.generated.MemberInfo;
import org.godwithoist.membership.wire.generated.OrderInfo;
import org.godwithoist.membership.wire.generated.OrderStateCode;
import org.godwithoist.membership.wire.generated.SummaryInfo;

/**
 * Encodes and decodes the exchange. Decoding throws {@link IllegalArgumentException} if a value is
 * invalid.
 */
final class ExchangeCodec {
    private ExchangeCodec() {}

    static ExchangeRequest encode(ExchangeMessage.Request m) {
        var b =
                ExchangeRequest.newBuilder()
                        .setIncarnation(m.incarnation())
                        .setOrdersDigest(m.ordersDigest())
                        .addAllOrders(orderInfos(m.orders()))
                        .setWantMembers(m.wantMembers())
                        .setLeaving(m.leaving())
                        .setGroups(encodeGroups(m.groups()))
                        .setWantedGroups(ByteString.copyFrom(m.wantedGroups().toByteArray()))
                        .addAllMemberDigest(m.memberDigests());
        m.sender().ifPresent(s -> b.setSender(encode(s)));
        return b.build();
    }

    static ExchangeMessage.Request decode(ExchangeRequest m) {
        return new ExchangeMessage.Request(
                m.getIncarnation(),
                m.getOrdersDigest(),
                orders(m.getOrdersList()),
                m.hasSender() ? Optional.of(decode(m.getSender())) : Optional.empty(),
                m.getWantMembers(),
                m.getLeaving(),
                decodeGroups(m.getGroups()),
                BitSet.valueOf(m.getWantedGroups().asReadOnlyByteBuffer()),
                m.getMemberDigestList());
    }

    static ExchangeResponse encode(ExchangeMessage.Response m) {
        return ExchangeResponse.newBuilder()
                .setIncarnation(m.incarnation())
                .setOrdersDigest(m.ordersDigest())
                .addAllOrders(orderInfos(m.orders()))
                .setMembersDigest(m.membersDigest())
                .addAllMembers(m.members().stream().map(ExchangeCodec::encode).toList())
                .setSenderUnknown(m.senderUnknown())
                .setOrdersKnown(m.ordersKnown())
                .setGroups(encodeGroups(m.groups()))
                .addAllSummary(m.summaries().stream().map(ExchangeCodec::encode).toList())
                .build();
    }

    static ExchangeMessage.Response decode(ExchangeResponse m) {
        return new ExchangeMessage.Response(
                m.getIncarnation(),
                m.getOrdersDigest(),
                orders(m.getOrdersList()),
                m.getMembersDigest(),
                m.getMembersList().stream().map(ExchangeCodec::decode).toList(),
                m.getSenderUnknown(),
                m.getOrdersKnown(),
                decodeGroups(m.getGroups()),
                m.getSummaryList().stream().map(ExchangeCodec::decode).toList());
    }

    /** One group is encoded as 0, the default of the field, which takes no bytes. */
    private static int encodeGroups(int count) {
        return count == 1 ? 0 : count;
    }

    private static int decodeGroups(int field) {
        if (field < 0 || field > GroupLayout.MAX_GROUPS) {
            throw new IllegalArgumentException(
                    "number of groups must be from 0 to "
                            + GroupLayout.MAX_GROUPS
                            + ", got "
                            + field);
        }
        return Math.max(field, 1);
    }

    private static SummaryInfo encode(GroupSummary s) {
        var b =
                SummaryInfo.newBuilder()
                        .setGroupAndConfirmed(s.group().number() << 1 | (s.confirmed() ? 1 : 0))
                        .setAge(toUnits(s.age()))
                        .setCovered(s.covered());
        for (GroupSummary.Absent a : s.absent()) {
            b.addAbsent(a.hash());
        }
        if (s.absent().stream().anyMatch(a -> a.timeSinceLeft().isPresent())) {
            // 0 means that the member did not leave.
            s.absent()
                    .forEach(a -> b.addLeft(a.timeSinceLeft().map(t -> toUnits(t) + 1).orElse(0)));
        }
        return b.build();
    }

    private static int toUnits(Duration age) {
        return Math.toIntExact(age.dividedBy(GroupSummary.AGE_UNIT));
    }

    private static Duration fromUnits(int units) {
        return GroupSummary.AGE_UNIT.multipliedBy(Integer.toUnsignedLong(units));
    }

    private static GroupSummary decode(SummaryInfo m) {
        if (m.getLeftCount() > 0 && m.getLeftCount() != m.getAbsentCount()) {
            throw new IllegalArgumentException(
                    "group summary must have no departure times or one for each absent member");
        }
        List<GroupSummary.Absent> absent = new ArrayList<>();
        for (int i = 0; i < m.getAbsentCount(); i++) {
            int left = m.getLeftCount() == 0 ? 0 : m.getLeft(i);
            absent.add(
                    new GroupSummary.Absent(
                            m.getAbsent(i),
                            left == 0 ? Optional.empty() : Optional.of(fromUnits(left - 1))));
        }
        return new GroupSummary(
                new GroupId(m.getGroupAndConfirmed() >>> 1),
                fromUnits(m.getAge()),
                m.getCovered(),
                (m.getGroupAndConfirmed() & 1) != 0,
                absent);
    }

    private static MemberInfo encode(Member m) {
        return MemberInfo.newBuilder()
                .setHost(m.host().value())
                .setFailureDomain(m.failureDomain().value())
                .setPeer(m.peer().toString())
                .setIncarnation(m.incarnation())
                .build();
    }

    private static Member decode(MemberInfo m) {
        return new Member(
                new HostId(m.getHost()),
                new FailureDomainId(m.getFailureDomain()),
                Endpoint.parse(m.getPeer()),
                m.getIncarnation());
    }

    private static List<OrderInfo> orderInfos(List<Order> orders) {
        return orders.stream().map(ExchangeCodec::encode).toList();
    }

    private static List<Order> orders(List<OrderInfo> infos) {
        return infos.stream().map(ExchangeCodec::decode).toList();
    }

    private static OrderInfo encode(Order o) {
        return OrderInfo.newBuilder()
                .setSubject(o.subject().toString())
                .setState(
                        switch (o.state()) {
                            case IN -> OrderStateCode.ORDER_STATE_IN;
                            case OUT -> OrderStateCode.ORDER_STATE_OUT;
                        })
                .setTime(o.stamp().time())
                .setHost(o.stamp().host().value())
                .setOperator(o.operator().value())
                .build();
    }

    private static Order decode(OrderInfo o) {
        OrderState state =
                switch (o.getState()) {
                    case ORDER_STATE_IN -> OrderState.IN;
                    case ORDER_STATE_OUT -> OrderState.OUT;
                    case ORDER_STATE_UNSPECIFIED, UNRECOGNIZED ->
                            throw new IllegalArgumentException(
                                    "state of an order must be IN or OUT");
                };
        return new Order(
                OrderSubject.parse(o.getSubject()),
                state,
                new OrderStamp(o.getTime(), new HostId(o.getHost())),
                new OperatorName(o.getOperator()));
    }
}
