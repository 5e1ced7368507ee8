package org.godwithoist.quarantine;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.quarantine.wire.EvidenceCodec;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.PromptPartId;

/**
 * Keeps the evidence against quarantined prompt parts in the store, so that it outlives a restart
 * of all daemons. Each row has the id of a part as its key. A row is written or removed by the
 * daemon whose observation quarantined or released the part. Used by one task.
 */
public final class QuarantineTable {
    /** Delay of the first read, because the daemon needs the other tables first. */
    private static final Duration STARTUP_DELAY = Duration.ofMillis(100);

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final Quarantine quarantine;
    private final WritableTable table;
    private final EventLog log;
    private final InstantSource clock;

    /** Parts whose rows must be written or removed. */
    private final Queue<PromptPartId> unsaved = new ArrayDeque<>();

    /**
     * Creates an instance that has read nothing yet.
     *
     * @param clock time of day, by which the age of a row is estimated
     */
    public QuarantineTable(
            Quarantine quarantine, WritableTable table, EventLog log, InstantSource clock) {
        this.quarantine = quarantine;
        this.table = table;
        this.log = log;
        this.clock = clock;
    }

    /** Starts the task that reads the table once and then saves changes. */
    public void start(Supervisor supervisor) {
        supervisor.start("quarantine-table", this::run);
    }

    private void run() {
        boolean keepRunning = Tasks.sleep(STARTUP_DELAY);
        while (keepRunning && !load()) {
            keepRunning = Tasks.sleep(RETRY_DELAY);
        }
        while (keepRunning) {
            keepRunning = save() ? quarantine.awaitUnsaved() : Tasks.sleep(RETRY_DELAY);
        }
    }

    /** Reads all rows; returns false if the store did not respond. */
    boolean load() {
        try {
            List<PartEvidence> evidence = new ArrayList<>();
            for (FeedRow row : table.readAll().rows()) {
                decode(row).ifPresent(evidence::add);
            }
            quarantine.merge(evidence);
            removeExpired(evidence);
            return true;
        } catch (IOException e) {
            logFailure("read", e);
            return false;
        }
    }

    /** Removes the rows of parts whose crashes are too old to count. */
    private void removeExpired(List<PartEvidence> evidence) throws IOException {
        for (PartEvidence e : evidence) {
            if (!quarantine.isSuspected(e.part())) {
                remove(e.part());
            }
        }
    }

    /** Saves what this daemon has changed; returns false if the store did not respond. */
    boolean save() {
        unsaved.addAll(quarantine.takeUnsaved());
        try {
            while (!unsaved.isEmpty()) {
                save(unsaved.peek());
                unsaved.remove();
            }
            return true;
        } catch (IOException e) {
            logFailure("save", e);
            return false;
        }
    }

    private void save(PromptPartId part) throws IOException {
        Optional<PartEvidence> evidence = quarantine.quarantinedEvidence(part);
        if (evidence.isPresent()) {
            write(evidence.get());
        } else {
            remove(part);
        }
    }

    private void write(PartEvidence evidence) throws IOException {
        table.write(evidence.part().value(), encode(evidence));
        logChange("write", evidence.part());
    }

    private void remove(PromptPartId part) throws IOException {
        table.remove(part.value());
        logChange("remove", part);
    }

    private void logChange(String action, PromptPartId part) {
        log.event("quarantine_row").with("action", action).with("part", part.value()).write();
    }

    private void logFailure(String action, IOException failure) {
        log.event("quarantine_table_failed")
                .with("action", action)
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
    }

    // ---- rows

    /** Encodes the value of a row: the time of day in milliseconds, and the evidence. */
    private byte[] encode(PartEvidence evidence) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(clock.millis());
        EvidenceCodec.write(evidence, out);
        return bytes.toByteArray();
    }

    /** Decodes a row; empty if it is malformed, for example because another program wrote it. */
    private Optional<PartEvidence> decode(FeedRow row) {
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

    private static PartEvidence older(PartEvidence evidence, Duration age) {
        Map<CrashId, CrashReport> crashes = new HashMap<>();
        evidence.crashes()
                .forEach(
                        (id, c) -> crashes.put(id, new CrashReport(c.age().plus(age), c.prompt())));
        return new PartEvidence(evidence.part(), evidence.answered(), crashes, evidence.cleared());
    }
}
