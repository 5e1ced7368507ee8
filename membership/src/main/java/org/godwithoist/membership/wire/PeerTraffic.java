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
 * Counts the control traffic of this daemon: every byte that its connections to other daemons put
 * on TCP, HTTP/2 framing included. Thread-safe.
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

    /** Returns the bytes sent to other daemons. */
    public long bytesSent() {
        return sent.sum();
    }

    /** Returns the bytes received from other daemons and from strangers at the peer endpoint. */
    public long bytesReceived() {
        return received.sum();
    }

    /** Returns the connections that were closed and replaced because they were silent. */
    public long connectionsReplaced() {
        return connectionsReplaced.sum();
    }

    /** Returns the messages dropped for a reason. */
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
     * Counts the bytes of a connection.
     *
     * @param onRead runs after each read
     */
    void addCounter(HttpConnection connection, Runnable onRead) {
        // Vert.x reports only the bytes of HTTP/2 data frames in its metrics, and headers are most
        // of an exchange; so the counter is put next to the socket.
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
