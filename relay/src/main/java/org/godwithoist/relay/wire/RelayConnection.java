package org.godwithoist.relay.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.relay.NoFreshNewsException;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.store.feed.FeedPage;

/**
 * A connection to the leader. It is opened on demand, and closed after each failure and when the
 * leader changes. Not thread-safe.
 */
public final class RelayConnection implements RelayClient {
    private final Ticker ticker;
    private Optional<Endpoint> to = Optional.empty();
    private Socket socket = new Socket();

    /** Creates a connection that is not open yet. */
    public RelayConnection(Ticker ticker) {
        this.ticker = ticker;
    }

    @Override
    public FeedPage changes(Endpoint leader, Question question, Duration margin)
            throws IOException {
        byte[] answer = call(leader, question, margin);
        return RelayCodec.answer(answer)
                .orElseThrow(() -> new NoFreshNewsException(question.table()));
    }

    private byte[] call(Endpoint leader, Question question, Duration margin) throws IOException {
        try {
            open(leader, margin);
            Frames.write(socket, RelayCodec.encode(question));
            Deadline deadline = Deadline.after(question.longestWait().plus(margin), ticker);
            return Frames.read(socket, RelayCodec.ANSWER_BYTES, deadline);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void open(Endpoint leader, Duration timeout) throws IOException {
        if (to.equals(Optional.of(leader))) {
            return;
        }
        close();
        socket = new Socket();
        socket.setTcpNoDelay(true);
        InetSocketAddress address = new InetSocketAddress(leader.ip(), leader.port());
        socket.connect(address, (int) timeout.toMillis());
        to = Optional.of(leader);
    }

    @Override
    public void close() throws IOException {
        to = Optional.empty();
        socket.close();
    }
}
