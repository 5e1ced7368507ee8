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
import java.util.TreeSet;
import java.util.function.Consumer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.peers.Member;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.FleetShare;

/**
 * The daemons that may be at work, each of which has a row with its address for messages, written
 * when it starts on a new host. Rows of hosts that are gone stay, which makes the shares smaller
 * than they need be and never too large. The list is read now and then, not followed: a change of
 * one row would otherwise cost a call of each daemon. A daemon that was not listed is a newcomer
 * until all others have looked again.
 */
final class FleetList {
    /** Daemons start together; by then all have written their rows. */
    private static final Duration SECOND_LOOK = Duration.ofSeconds(3);

    /** The start of the daemon needs the processor and the store first. */
    private static final Duration BEFORE_FIRST_WRITE = Duration.ofMillis(700);

    private static final Duration NEXT_LOOK = Duration.ofSeconds(12);
    private static final Duration AFTER_FAILURE = Duration.ofSeconds(1);

    /** By then all others have looked again, also after a look that failed. */
    private static final Duration NEWCOMER = NEXT_LOOK.plus(SECOND_LOOK);

    private final Member self;
    private final WritableTable table;
    private final Consumer<Collection<Member>> listener;
    private final EventLog log;
    private final Ticker ticker;
    private volatile FleetShare share;
    private boolean registered;
    private volatile OptionalLong newcomerUntil = OptionalLong.empty();

    /**
     * Makes a list that has not been read.
     *
     * @param self this daemon
     * @param assumed daemons to assume until the list has been read
     * @param listener takes all daemons each time the list has been read
     */
    FleetList(
            Member self,
            int assumed,
            WritableTable table,
            Consumer<Collection<Member>> listener,
            EventLog log,
            Ticker ticker) {
        this.self = self;
        this.table = table;
        this.listener = listener;
        this.log = log;
        this.ticker = ticker;
        int rank = Math.floorMod(name().hashCode(), assumed);
        share = new FleetShare(assumed, rank);
    }

    /** Returns this daemon's share of limits of the fleet. */
    FleetShare share() {
        FleetShare now = share;
        return now.newlyJoined() && !newcomer() ? now.asKnownMember() : now;
    }

    private boolean newcomer() {
        OptionalLong until = newcomerUntil;
        return until.isPresent() && ticker.nanos() - until.getAsLong() < 0;
    }

    void start() {
        Tasks.start("fleet-list", this::run);
    }

    private void run() {
        boolean goOn = Tasks.sleep(BEFORE_FIRST_WRITE);
        while (goOn) {
            goOn = Tasks.sleep(step());
        }
    }

    /** Makes one step and returns the time until the next one. */
    Duration step() {
        try {
            List<FeedRow> rows = table.readAll().rows();
            boolean first = !registered;
            if (first) {
                register(rows);
            }
            take(rows);
            return first ? SECOND_LOOK : NEXT_LOOK;
        } catch (IOException e) {
            log.event("fleet_list_failed").with("reason", String.valueOf(e.getMessage())).write();
            return AFTER_FAILURE;
        }
    }

    /** Writes this daemon's row, unless it stands there from an earlier start. */
    private void register(List<FeedRow> rows) throws IOException {
        Optional<FeedRow> mine = rows.stream().filter(r -> r.key().equals(name())).findFirst();
        if (mine.isEmpty() && !rows.isEmpty() && newcomerUntil.isEmpty()) {
            newcomerUntil = OptionalLong.of(ticker.nanos() + NEWCOMER.toNanos());
        }
        byte[] value = row(self);
        if (mine.isEmpty() || !Arrays.equals(mine.get().value(), value)) {
            table.write(name(), value);
        }
        registered = true;
    }

    private void take(List<FeedRow> rows) {
        listener.accept(members(rows));
        TreeSet<String> names = new TreeSet<>(List.of(name()));
        rows.forEach(r -> names.add(r.key()));
        FleetShare next = new FleetShare(names.size(), names.headSet(name()).size(), newcomer());
        if (!next.equals(share)) {
            share = next;
            log.event("fleet")
                    .with("members", next.members())
                    .with("rank", next.rank())
                    .with("newcomer", next.newlyJoined())
                    .write();
        }
    }

    private String name() {
        return self.host().value();
    }

    private List<Member> members(List<FeedRow> rows) {
        List<Member> members = new ArrayList<>();
        for (FeedRow row : rows) {
            try {
                members.add(member(row));
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

    /** Returns the value of a daemon's row: its address and its failure domain. */
    private static byte[] row(Member member) {
        String text = member.address() + " " + member.domain();
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Member member(FeedRow row) {
        String text = new String(row.value(), StandardCharsets.UTF_8);
        int space = text.indexOf(' ');
        if (space < 0) {
            throw new IllegalArgumentException("'" + text + "' has no failure domain");
        }
        return new Member(
                new HostId(row.key()),
                new FailureDomainId(text.substring(space + 1)),
                Endpoint.parse(text.substring(0, space)));
    }
}
