package org.godwithoist.membership.wire;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.membership.ExchangeMessage;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.OperatorName;
import org.godwithoist.membership.Order;
import org.godwithoist.membership.OrderStamp;
import org.godwithoist.membership.OrderState;
import org.godwithoist.membership.OrderSubject;
import org.godwithoist.membership.wire.generated.ExchangeRequest;
import org.godwithoist.membership.wire.generated.ExchangeResponse;
import org.godwithoist.membership.wire.generated.MemberInfo;
import org.godwithoist.membership.wire.generated.OrderInfo;
import org.godwithoist.membership.wire.generated.OrderStateCode;

/**
 * Encodes the exchange. Decoding throws {@link IllegalArgumentException} if a value is not valid.
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
                        .setLeaving(m.leaving());
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
                m.getLeaving());
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
                m.getOrdersKnown());
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
                            throw new IllegalArgumentException("an order has no known state");
                };
        return new Order(
                OrderSubject.parse(o.getSubject()),
                state,
                new OrderStamp(o.getTime(), new HostId(o.getHost())),
                new OperatorName(o.getOperator()));
    }
}
