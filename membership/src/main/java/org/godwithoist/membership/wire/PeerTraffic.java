package org.godwithoist.membership.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the control traffic of this daemon: every byte that its connections to other daemons send
 * and receive over TCP, including HTTP/2 framing. Thread-safe.
 */
public final class PeerTraffic {
    private static final String HANDLER_NAME = "peer-traffic";

    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder connectionsReplaced = new LongAdder();
    private final Map<Rejection, LongAdder> rejected = new EnumMap<>(Rejection.class);

    PeerTraffic() {
        for (Rejection r : Rejection.values()) {
            rejected.put(r, new LongAdder());
        }
    }

    /** Returns the number of bytes sent to other daemons. */
    public long bytesSent() {
        return sent.sum();
    }

    /**
     * Returns the number of bytes received from other daemons and from unauthenticated clients of
     * the peer endpoint.
     */
    public long bytesReceived() {
        return received.sum();
    }

    /** Returns the number of connections that were replaced because nothing arrived on them. */
    public long connectionsReplaced() {
        return connectionsReplaced.sum();
    }

    /** Returns the number of messages dropped for a reason. */
    public long rejected(Rejection reason) {
        return rejected.get(reason).sum();
    }

    void countRejected(Rejection reason) {
        rejected.get(reason).increment();
    }

    void countReplaced() {
        connectionsReplaced.increment();
    }

    /**
     * Adds a byte counter to a connection, unless it has one.
     *
     * @param onRead runs after each read
     */
    void addCounter(HttpConnection connection, Runnable onRead) {
        // The metrics of Vert.x include only HTTP/2 data frames, and most of an exchange is
        // headers; therefore the counter is the handler next to the socket.
        ChannelPipeline pipeline = ((ConnectionBase) connection).channelHandlerContext().pipeline();
        if (pipeline.get(HANDLER_NAME) == null) {
            pipeline.addFirst(HANDLER_NAME, new Counter(onRead));
        }
    }

    private final class Counter extends ChannelDuplexHandler {
        private final Runnable onRead;

        private Counter(Runnable onRead) {
            this.onRead = onRead;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf buffer) {
                received.add(buffer.readableBytes());
                onRead.run();
            }
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
                throws Exception {
            if (message instanceof ByteBuf buffer) {
                sent.add(buffer.readableBytes());
            }
            super.write(ctx, message, promise);
        }
    }
}
