package org.godwithoist.quarantine;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.retry.Backoff;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.quarantine.wire.EvidenceCodec;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.WritableTable;

/**
 * Keeps the evidence against quarantined suspects in the store, so that it outlives a restart of
 * all daemons. Each row has the id of a suspect as its key. A row is written or removed by the
 * daemon whose observation quarantined or released the suspect. After the store was restored from
 * an older copy, each daemon that knows of crashes compares the rows with what it knows. Used by
 * one task, except for {@link #storeRestored()}.
 */
public final class QuarantineTable {
    /** Delay of the first read, because the daemon needs the other tables first. */
    private static final Duration STARTUP_DELAY = Duration.ofMillis(100);

    private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(4);

    /** Longest wait of the task while no check is due. */
    private static final Duration MAX_WAIT = Duration.ofHours(1);

    /** A change of the row with a key. */
    @FunctionalInterface
    private interface RowChange {
        void apply(String key) throws IOException;
    }

    private final Quarantine quarantine;
    private final WritableTable table;
    private final EventLog log;
    private final InstantSource clock;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final AtomicBoolean restored = new AtomicBoolean();
    private boolean loaded;

    /** Times at which the rows must be compared with what this daemon knows. */
    private final Map<CheckReason, Long> checks = new EnumMap<>(CheckReason.class);

    /** Parts whose rows must be written or removed. */
    private final SequencedSet<SuspectId> unsaved = new LinkedHashSet<>();

    /**
     * Creates an instance that has read nothing yet.
     *
     * @param clock time of day, by which the age of a row is estimated
     * @param random distributes the calls of daemons that the same event affects
     */
    public QuarantineTable(
            Quarantine quarantine,
            WritableTable table,
            EventLog log,
            InstantSource clock,
            Ticker ticker,
            RandomGenerator random) {
        this.quarantine = quarantine;
        this.table = table;
        this.log = log;
        this.clock = clock;
        this.ticker = ticker;
        this.random = random;
        backoff = new Backoff(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, random);
    }

    /**
     * Makes the task compare the rows with what this daemon knows, because the store was restored
     * from an older copy. Returns at once; thread-safe.
     */
    public void storeRestored() {
        restored.set(true);
        quarantine.wakeSavingTask();
    }

    /**
     * Starts the task that reads the table once and then saves changes; interrupt the returned
     * thread to stop it.
     */
    public Thread start(Supervisor supervisor) {
        return supervisor.start("quarantine-table", this::run);
    }

    private void run() {
        boolean keepRunning = Tasks.sleep(STARTUP_DELAY);
        while (keepRunning) {
            keepRunning =
                    step() ? quarantine.awaitUnsaved(timeToCheck()) : Tasks.sleep(backoff.next());
        }
    }

    /** Does what is due; returns false if the store did not respond. */
    boolean step() {
        if (restored.getAndSet(false) && !checks.containsKey(CheckReason.RESTORE)) {
            schedule(CheckReason.RESTORE);
        }
        boolean done = (!isReadDue() || load()) && save();
        if (done) {
            backoff.reset();
        }
        return done;
    }

    private void schedule(CheckReason reason) {
        checks.put(reason, ticker.nanos() + reason.delay(random).toNanos());
    }

    private boolean isReadDue() {
        if (!loaded) {
            return true;
        }
        if (!timeToCheck().isZero()) {
            return false;
        }
        if (quarantine.isWithoutSuspects()) {
            removeDueChecks(ticker.nanos());
            return false;
        }
        return true;
    }

    private void removeDueChecks(long now) {
        checks.values().removeIf(at -> at - now <= 0);
    }

    private Duration timeToCheck() {
        long now = ticker.nanos();
        return checks.values().stream()
                .map(at -> Duration.ofNanos(Math.max(0, at - now)))
                .min(Comparator.naturalOrder())
                .orElse(MAX_WAIT);
    }

    /**
     * Reads all rows, adds what they say to what this daemon knows, and writes or removes the rows
     * that differ from it; returns false if the store did not respond.
     */
    boolean load() {
        long startedAt = ticker.nanos();
        try {
            Map<SuspectId, SuspectEvidence> stored = new HashMap<>();
            for (FeedRow row : table.readAll().rows()) {
                decode(row).ifPresent(e -> stored.put(e.suspectId(), e));
            }
            quarantine.merge(stored.values());
            removeOutdated(stored.values());
            writeMissing(stored);
            loaded = true;
            removeDueChecks(startedAt);
            return true;
        } catch (IOException e) {
            logFailure("read", e);
            return false;
        }
    }

    /** Writes the rows of quarantined suspects that are missing or contain other crashes. */
    private void writeMissing(Map<SuspectId, SuspectEvidence> stored) throws IOException {
        for (SuspectEvidence known : quarantine.quarantinedEvidence()) {
            SuspectEvidence row = stored.get(known.suspectId());
            if (row == null || !row.crashes().keySet().equals(known.crashes().keySet())) {
                write(known);
                schedule(CheckReason.CONFIRMATION);
            }
        }
    }

    /** Removes the rows of suspects whose crashes were cleared or are too old to count. */
    private void removeOutdated(Collection<SuspectEvidence> evidence) throws IOException {
        for (SuspectEvidence e : evidence) {
            if (quarantine.isOutdated(e)) {
                remove(e.suspectId());
            }
        }
    }

    /** Saves what this daemon has changed; returns false if the store did not respond. */
    boolean save() {
        unsaved.addAll(quarantine.takeUnsaved());
        try {
            while (!unsaved.isEmpty()) {
                save(unsaved.getFirst());
                unsaved.removeFirst();
            }
            return true;
        } catch (IOException e) {
            logFailure("save", e);
            return false;
        }
    }

    private void save(SuspectId suspectId) throws IOException {
        Optional<SuspectEvidence> evidence = quarantine.quarantinedEvidence(suspectId);
        if (evidence.isPresent()) {
            write(evidence.get());
        } else {
            remove(suspectId);
        }
    }

    private void write(SuspectEvidence evidence) throws IOException {
        byte[] value = encode(evidence);
        quarantine.recordRow(evidence.suspectId(), true);
        change("write", evidence.suspectId(), key -> table.write(key, value));
    }

    private void remove(SuspectId suspectId) throws IOException {
        change("remove", suspectId, table::remove);
        quarantine.recordRow(suspectId, false);
    }

    private void change(String action, SuspectId suspectId, RowChange change) throws IOException {
        try {
            change.apply(suspectId.value());
        } catch (IOException e) {
            schedule(CheckReason.CONFIRMATION);
            throw e;
        }
        log.event("quarantine_row").with("action", action).with("part", suspectId.value()).write();
    }

    private void logFailure(String action, IOException failure) {
        log.event("quarantine_table_failed")
                .with("action", action)
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
    }

    // ---- rows

    /** Encodes the value of a row: the time of day in milliseconds, and the evidence. */
    private byte[] encode(SuspectEvidence evidence) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(clock.millis());
        EvidenceCodec.write(evidence, out);
        return bytes.toByteArray();
    }

    /** Decodes a row; empty if it is malformed, for example because another program wrote it. */
    private Optional<SuspectEvidence> decode(FeedRow row) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(row.value()));
            Duration age = Duration.ofMillis(Math.max(0, clock.millis() - in.readLong()));
            return Optional.of(older(EvidenceCodec.read(in), age));
        } catch (IOException | ArithmeticException e) {
            log.event("row_left_out")
                    .with("table", "quarantine")
                    .with("key", row.key())
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
            return Optional.empty();
        }
    }

    private static SuspectEvidence older(SuspectEvidence evidence, Duration age) {
        Map<CrashId, CrashReport> crashes = new HashMap<>();
        evidence.crashes()
                .forEach(
                        (id, c) -> crashes.put(id, new CrashReport(c.age().plus(age), c.prompt())));
        return new SuspectEvidence(
                evidence.suspectId(), evidence.answered(), crashes, evidence.cleared());
    }
}
