package org.godwithoist.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.retry.Backoff;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.peers.Member;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.FleetShare;

/**
 * The list of daemons in the fleet. Each daemon writes a row with its address for messages when it
 * starts on a new host, and again when a poll shows that the store has lost the row. Rows of
 * removed hosts are kept, and rows that the store has lost still count, so that shares of
 * fleet-wide limits may be smaller than necessary but never too large. The list is polled, because
 * following its changes would cost one request per daemon for every changed row. A daemon that had
 * no row when it started is newly joined until all others have polled the list again. {@link
 * #share()} and {@link #storeRestored()} are thread-safe.
 */
final class FleetList {
    /** Delay of the second poll, after which daemons started together have written their rows. */
    private static final Duration SECOND_POLL_DELAY = Duration.ofSeconds(3);

    /** Delay of the first poll, because other startup steps need the CPU and the store first. */
    private static final Duration STARTUP_DELAY = Duration.ofMillis(700);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(12);
    private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    /**
     * Time over which the daemons distribute their polls after a restore. The second poll comes
     * after the writes of all daemons that learned of the restore at the same time.
     */
    private static final Duration RESTORE_SPREAD = SECOND_POLL_DELAY;

    /** Time after which all others have polled the list again, even if one poll failed. */
    private static final Duration JOINING_PERIOD = POLL_INTERVAL.plus(SECOND_POLL_DELAY);

    private final Member self;
    private final WritableTable table;
    private final Consumer<Collection<Member>> listener;
    private final EventLog log;
    private final RandomGenerator random;
    private final Backoff backoff;

    /** Has a permit if the store was restored since the task last prepared a poll. */
    private final Semaphore restores = new Semaphore(0);

    private volatile FleetShare share;
    private boolean registered;

    /** Whether the next successful poll is followed by another one after a short delay. */
    private boolean secondPollDue = true;

    /** Keys of all rows that this daemon has read. */
    private final SortedSet<String> knownKeys = new TreeSet<>();

    /** Keys of rows that were in the list and are no longer. */
    private Set<String> missingKeys = Set.of();

    private final JoiningPeriod joining;

    /**
     * Creates a list that has not been read yet.
     *
     * @param self this daemon
     * @param assumedSize assumed fleet size until the list has been read
     * @param listener receives all listed daemons after each poll
     * @param random distributes the calls of daemons that the same event affects
     */
    FleetList(
            Member self,
            int assumedSize,
            WritableTable table,
            Consumer<Collection<Member>> listener,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {
        this.self = self;
        this.table = table;
        this.listener = listener;
        this.log = log;
        this.random = random;
        joining = new JoiningPeriod(JOINING_PERIOD, ticker);
        backoff = new Backoff(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, random);
        int rank = Math.floorMod(ownKey().hashCode(), assumedSize);
        share = new FleetShare(assumedSize, rank);
    }

    /** Returns this daemon's share of fleet-wide limits. */
    FleetShare share() {
        FleetShare current = share;
        return current.newlyJoined() && !joining.isRunning() ? current.asKnownMember() : current;
    }

    /**
     * Makes the task poll the list soon, because the store was restored from an older copy and may
     * have lost this daemon's row. Returns at once.
     */
    void storeRestored() {
        restores.release();
    }

    /** Starts the task; interrupt the returned thread to stop it. */
    Thread start(Supervisor supervisor) {
        return supervisor.start("fleet-list", this::run);
    }

    private void run() {
        boolean keepRunning = Tasks.sleep(STARTUP_DELAY);
        while (keepRunning) {
            keepRunning = awaitNextPoll(poll());
        }
    }

    /**
     * Waits for a time, or until the poll that follows a restore of the store.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    boolean awaitNextPoll(Duration delay) {
        long endsAt = System.nanoTime() + delay.toNanos();
        try {
            if (!restores.tryAcquire(delay.toNanos(), TimeUnit.NANOSECONDS)) {
                return true;
            }
            Thread.sleep(delayAfterRestore(Duration.ofNanos(endsAt - System.nanoTime())));
            restores.drainPermits();
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Records a restore of the store and returns the delay until the next poll, a random part of
     * {@link #RESTORE_SPREAD}.
     *
     * @param remaining delay that was left, which a restore does not prolong
     */
    Duration delayAfterRestore(Duration remaining) {
        joining.restart();
        secondPollDue = true;
        Duration delay = Duration.ofNanos(random.nextLong(RESTORE_SPREAD.toNanos()));
        return Durations.min(delay, Durations.max(remaining, Duration.ZERO));
    }

    /** Polls the list once and returns the delay until the next poll. */
    Duration poll() {
        List<FeedRow> rows;
        try {
            rows = table.readAll().rows();
        } catch (IOException e) {
            logFailure("read", e);
            joining.restart();
            return backoff.next();
        }
        OwnRowState ownRow = OwnRowState.of(rows, ownKey(), encode(self));
        recordRows(rows, ownRow);
        boolean current = !ownRow.isWriteRequired() || writeOwnRow();
        registered |= current;
        if (registered || joining.isRunning()) {
            applyRows(rows);
        }
        return current ? nextPollDelay() : backoff.next();
    }

    private Duration nextPollDelay() {
        backoff.reset();
        Duration delay = secondPollDue ? SECOND_POLL_DELAY : POLL_INTERVAL;
        secondPollDue = false;
        return delay;
    }

    /**
     * Records which rows have ever been listed. A row that is missing later was lost by the store,
     * because nobody removes rows.
     */
    private void recordRows(List<FeedRow> rows, OwnRowState ownRow) {
        if (ownRow == OwnRowState.MISSING) {
            joining.recordMissing(!rows.isEmpty());
        } else {
            joining.recordListed();
        }
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

    /** Writes this daemon's row; returns whether the store confirmed it. */
    private boolean writeOwnRow() {
        try {
            table.write(ownKey(), encode(self));
            joining.recordListed();
            return true;
        } catch (IOException e) {
            logFailure("write", e);
            return false;
        }
    }

    private void logFailure(String action, IOException failure) {
        log.event("fleet_list_failed")
                .with("action", action)
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
    }

    private void applyRows(List<FeedRow> rows) {
        listener.accept(decodeAll(rows));
        SortedSet<String> keys = new TreeSet<>(knownKeys);
        keys.add(ownKey());
        FleetShare next =
                new FleetShare(keys.size(), keys.headSet(ownKey()).size(), joining.isRunning());
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
