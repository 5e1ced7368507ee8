package org.godwithoist.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.peers.Member;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.FleetShare;

/**
 * The list of daemons in the fleet. Each daemon writes a row with its address for messages when it
 * starts on a new host. Rows of removed hosts are kept, so that shares of fleet-wide limits may be
 * smaller than necessary but never too large. The list is polled, because following its changes
 * would cost one request per daemon for every changed row. A daemon that had no row when it started
 * is newly joined until all others have polled the list again. {@link #share()} is thread-safe.
 */
final class FleetList {
    /** Delay of the second poll, after which daemons started together have written their rows. */
    private static final Duration SECOND_POLL_DELAY = Duration.ofSeconds(3);

    /** Delay of the first poll, because other startup steps need the CPU and the store first. */
    private static final Duration STARTUP_DELAY = Duration.ofMillis(700);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(12);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Time after which all others have polled the list again, even if one poll failed. */
    private static final Duration JOINING_PERIOD = POLL_INTERVAL.plus(SECOND_POLL_DELAY);

    private final Member self;
    private final WritableTable table;
    private final Consumer<Collection<Member>> listener;
    private final EventLog log;
    private final Ticker ticker;
    private volatile FleetShare share;
    private boolean registered;

    /** Keys of all rows that this daemon has read. */
    private final SortedSet<String> knownKeys = new TreeSet<>();

    /** Keys of rows that were in the list and are no longer. */
    private Set<String> missingKeys = Set.of();

    private volatile OptionalLong newlyJoinedUntil = OptionalLong.empty();

    /**
     * Creates a list that has not been read yet.
     *
     * @param self this daemon
     * @param assumedSize assumed fleet size until the list has been read
     * @param listener receives all listed daemons after each poll
     */
    FleetList(
            Member self,
            int assumedSize,
            WritableTable table,
            Consumer<Collection<Member>> listener,
            EventLog log,
            Ticker ticker) {
        this.self = self;
        this.table = table;
        this.listener = listener;
        this.log = log;
        this.ticker = ticker;
        int rank = Math.floorMod(ownKey().hashCode(), assumedSize);
        share = new FleetShare(assumedSize, rank);
    }

    /** Returns this daemon's share of fleet-wide limits. */
    FleetShare share() {
        FleetShare current = share;
        return current.newlyJoined() && !isNewlyJoined() ? current.asKnownMember() : current;
    }

    private boolean isNewlyJoined() {
        OptionalLong until = newlyJoinedUntil;
        return until.isPresent() && ticker.nanos() - until.getAsLong() < 0;
    }

    void start(Supervisor supervisor) {
        supervisor.start("fleet-list", this::run);
    }

    private void run() {
        boolean keepRunning = Tasks.sleep(STARTUP_DELAY);
        while (keepRunning) {
            keepRunning = Tasks.sleep(poll());
        }
    }

    /** Polls the list once and returns the delay until the next poll. */
    Duration poll() {
        try {
            List<FeedRow> rows = table.readAll().rows();
            logLostRows(rows);
            boolean firstPoll = !registered;
            if (firstPoll) {
                register(rows);
            }
            applyRows(rows);
            return firstPoll ? SECOND_POLL_DELAY : POLL_INTERVAL;
        } catch (IOException e) {
            log.event("fleet_list_failed").with("reason", String.valueOf(e.getMessage())).write();
            return RETRY_DELAY;
        }
    }

    /**
     * Logs rows that the store has lost: nobody removes rows, and only this daemon writes its own.
     */
    private void logLostRows(List<FeedRow> rows) {
        OwnRowState ownRow = OwnRowState.of(rows, ownKey(), encode(self));
        if (registered && ownRow.isWriteRequired()) {
            log.event("fleet_own_row").with("state", ownRow.logName()).write();
        }
        Set<String> listed = rows.stream().map(FeedRow::key).collect(Collectors.toSet());
        Set<String> missing = new TreeSet<>(knownKeys);
        missing.removeAll(listed);
        if (!missing.equals(missingKeys)) {
            log.event("fleet_rows_missing").with("keys", String.join(",", missing)).write();
        }
        missingKeys = missing;
        knownKeys.addAll(listed);
    }

    /** Writes this daemon's row, unless an earlier start has already written the same value. */
    private void register(List<FeedRow> rows) throws IOException {
        Optional<FeedRow> ownRow = rows.stream().filter(r -> r.key().equals(ownKey())).findFirst();
        if (ownRow.isEmpty() && !rows.isEmpty() && newlyJoinedUntil.isEmpty()) {
            newlyJoinedUntil = OptionalLong.of(ticker.nanos() + JOINING_PERIOD.toNanos());
        }
        byte[] value = encode(self);
        if (ownRow.isEmpty() || !Arrays.equals(ownRow.get().value(), value)) {
            table.write(ownKey(), value);
        }
        registered = true;
    }

    private void applyRows(List<FeedRow> rows) {
        listener.accept(decodeAll(rows));
        TreeSet<String> keys = new TreeSet<>(List.of(ownKey()));
        rows.forEach(r -> keys.add(r.key()));
        FleetShare next =
                new FleetShare(keys.size(), keys.headSet(ownKey()).size(), isNewlyJoined());
        if (!next.equals(share)) {
            share = next;
            log.event("fleet")
                    .with("members", next.members())
                    .with("rank", next.rank())
                    .with("newcomer", next.newlyJoined())
                    .write();
        }
    }

    private String ownKey() {
        return self.host().value();
    }

    private List<Member> decodeAll(List<FeedRow> rows) {
        List<Member> members = new ArrayList<>();
        for (FeedRow row : rows) {
            try {
                members.add(decode(row));
            } catch (IllegalArgumentException e) {
                log.event("row_left_out")
                        .with("table", "daemons")
                        .with("key", row.key())
                        .with("reason", String.valueOf(e.getMessage()))
                        .write();
            }
        }
        return members;
    }

    /** Encodes the value of a daemon's row: the address, a space and the failure domain. */
    private static byte[] encode(Member member) {
        String text = member.address() + " " + member.domain();
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Member decode(FeedRow row) {
        String text = new String(row.value(), StandardCharsets.UTF_8);
        int space = text.indexOf(' ');
        if (space < 0) {
            throw new IllegalArgumentException(
                    "row value '" + text + "' is not of the form 'address failure-domain'");
        }
        return new Member(
                new HostId(row.key()),
                new FailureDomainId(text.substring(space + 1)),
                Endpoint.parse(text.substring(0, space)));
    }
}
