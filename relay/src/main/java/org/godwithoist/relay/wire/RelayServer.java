package org.godwithoist.relay.wire;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.relay.RecentChanges;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.relay.RelayTiming;
import org.godwithoist.relay.TableName;
import org.godwithoist.store.feed.FeedPage;

/** Serves the requests of members; one task for each connection. Thread-safe. */
public final class RelayServer {
    /**
     * Time to wait for the next request of a connection. A member that reads from the store in the
     * meantime returns to its leader sooner than this.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** A member that takes longer to read a response reads from the store in the meantime. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

    private final Map<TableName, RecentChanges> tables;
    private final Supplier<RelayTiming> timing;
    private final EventLog log;
    private final Ticker ticker;

    /**
     * Creates a server.
     *
     * @param tables the relayed tables
     * @param timing current timing
     */
    public RelayServer(
            Map<TableName, RecentChanges> tables,
            Supplier<RelayTiming> timing,
            EventLog log,
            Ticker ticker) {
        this.tables = Map.copyOf(tables);
        this.timing = timing;
        this.log = log;
        this.ticker = ticker;
    }

    /** Serves the requests of a connection until it is closed. */
    public void serve(Socket member) {
        try (member) {
            member.setTcpNoDelay(true);
            while (true) {
                Deadline deadline = Deadline.after(IDLE_TIMEOUT, ticker);
                byte[] request = Frames.read(member, RelayCodec.MAX_REQUEST_BYTES, deadline);
                byte[] response = RelayCodec.encode(changes(RelayCodec.decodeRequest(request)));
                Frames.write(member, response, WRITE_TIMEOUT);
            }
        } catch (EOFException | SocketTimeoutException | SocketException e) {
            // The connection ended or was idle; a member that closed it logs the reason itself.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            log.event("relay_question_left_out")
                    .with("from", String.valueOf(member.getRemoteSocketAddress()))
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }

    private Optional<FeedPage> changes(RelayClient.Request request) throws InterruptedException {
        RecentChanges recent = tables.get(request.table());
        if (recent == null) {
            return Optional.empty();
        }
        RelayTiming currentTiming = timing.get();
        Duration wait = Durations.min(request.maxWait(), currentTiming.maxMemberWait());
        return recent.awaitChanges(request.after(), wait, currentTiming.maxAge());
    }
}
