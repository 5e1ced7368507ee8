package org.godwithoist.relay.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.relay.StaleCopyException;
import org.godwithoist.store.feed.FeedPage;

/**
 * A connection to the leader. It is opened on demand, and closed after each failure and when the
 * leader changes. Not thread-safe.
 */
public final class RelayConnection implements RelayClient {
    private final Ticker ticker;
    private Optional<Endpoint> connectedTo = Optional.empty();
    private Socket socket = new Socket();

    /** Creates a connection that is not open yet. */
    public RelayConnection(Ticker ticker) {
        this.ticker = ticker;
    }

    @Override
    public FeedPage changes(Endpoint leader, Request request, Duration margin) throws IOException {
        byte[] response = sendRequest(leader, request, margin);
        return RelayCodec.decodeResponse(response)
                .orElseThrow(() -> new StaleCopyException(request.table()));
    }

    private byte[] sendRequest(Endpoint leader, Request request, Duration margin)
            throws IOException {
        try {
            open(leader, margin);
            Frames.write(socket, RelayCodec.encode(request));
            Deadline deadline = Deadline.after(request.maxWait().plus(margin), ticker);
            return Frames.read(socket, RelayCodec.MAX_RESPONSE_BYTES, deadline);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void open(Endpoint leader, Duration timeout) throws IOException {
        if (connectedTo.equals(Optional.of(leader))) {
            return;
        }
        close();
        socket = new Socket();
        socket.setTcpNoDelay(true);
        InetSocketAddress address = new InetSocketAddress(leader.ip(), leader.port());
        socket.connect(address, (int) timeout.toMillis());
        connectedTo = Optional.of(leader);
    }

    @Override
    public void close() throws IOException {
        connectedTo = Optional.empty();
        socket.close();
    }
}
