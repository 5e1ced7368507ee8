package org.godwithoist.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.streams.OriginStore.BegunStream;

/**
 * Writes the beginnings of streams, and the versions of services, to the store. The streams of a
 * service are written while it has several versions, in batches: those of the last interval are
 * lost if the daemon is killed. Used by one task.
 */
public final class OriginTask {
    /** Interval of the writes in small fleets. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(400);

    /**
     * Interval per daemon of the fleet, so that all daemons together write 125 times a second at
     * most, about a third of what the store accepts.
     */
    private static final Duration INTERVAL_PER_MEMBER = Duration.ofMillis(8);

    /** Interval of removals without writes. */
    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(5);

    /** Mean interval per daemon of the fleet between searches for rows of daemons that ended. */
    private static final Duration SEARCH_INTERVAL_PER_MEMBER = Duration.ofSeconds(10);

    /** Shortest time until the first search. */
    private static final Duration FIRST_SEARCH = Duration.ofMinutes(1);

    /** A part of a step. */
    @FunctionalInterface
    private interface StoreAction {
        void run() throws IOException;
    }

    private final RecordedOrigins origins;
    private final OriginStore store;
    private final IntSupplier members;
    private final EventLog log;
    private final Ticker ticker;
    private final RandomGenerator random;
    private long removalDueAt;
    private long searchDueAt;
    private String searchFrom = "";
    private boolean failing;

    /**
     * Creates a task that has not been started.
     *
     * @param store used by this task only
     * @param members returns the number of daemons in the fleet
     */
    public OriginTask(
            RecordedOrigins origins,
            OriginStore store,
            IntSupplier members,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {
        this.origins = origins;
        this.store = store;
        this.members = members;
        this.log = log;
        this.ticker = ticker;
        this.random = random;
        searchDueAt = ticker.nanos() + FIRST_SEARCH.toNanos();
    }

    /** Starts the task; interrupt the returned thread to stop it. */
    public Thread start(Supervisor supervisor) {
        return supervisor.start("stream-origins", this::run);
    }

    private void run() {
        // Daemons that start together, or learn of a version together, write one after the other.
        boolean keepRunning = Tasks.sleep(Duration.ofNanos(random.nextLong(interval().toNanos())));
        while (keepRunning) {
            step();
            keepRunning = Tasks.sleep(interval());
        }
    }

    private Duration interval() {
        return Durations.max(MIN_INTERVAL, INTERVAL_PER_MEMBER.multipliedBy(members.getAsInt()));
    }

    /** Does what is due; what the store does not accept is tried again in the next step. */
    void step() {
        origins.streams().removeExpired();
        boolean synced = attempt(this::sync);
        boolean saved = attempt(this::save);
        if (saved) {
            saved = attempt(this::search);
        }
        failing = !synced || !saved;
    }

    /** Does a part of a step; returns whether the store accepted it. */
    private boolean attempt(StoreAction action) {
        try {
            action.run();
            return true;
        } catch (IOException e) {
            logFailure(e);
            return false;
        }
    }

    /**
     * Compares the rows of services in a random order, so that one that the store does not accept
     * keeps no other back for long. It comes before the streams are saved, because the first row
     * that is read tells the store's time, which the rows of streams need.
     */
    private void sync() throws IOException {
        List<ServiceId> services = new ArrayList<>(origins.servicesToSync());
        Collections.shuffle(services, Random.from(random));
        for (ServiceId service : services) {
            origins.sync(service, store);
        }
    }

    private void save() throws IOException {
        BegunStreams streams = origins.streams();
        List<BegunStream> begun = streams.unsaved(origins::mustSave, OriginStore.MAX_CHANGES);
        while (!begun.isEmpty() || isRemovalDue()) {
            List<StreamId> expired = streams.expiredRows(OriginStore.MAX_CHANGES - begun.size());
            if (!begun.isEmpty() || !expired.isEmpty()) {
                store.save(begun, expired);
                streams.recordSaved(begun, expired);
            }
            removalDueAt = ticker.nanos() + REMOVAL_INTERVAL.toNanos();
            begun = streams.unsaved(origins::mustSave, OriginStore.MAX_CHANGES);
        }
    }

    private boolean isRemovalDue() {
        return ticker.nanos() - removalDueAt >= 0;
    }

    /** Removes rows that daemons have left which ended before they could remove them. */
    private void search() throws IOException {
        if (ticker.nanos() - searchDueAt < 0) {
            return;
        }
        long mean = SEARCH_INTERVAL_PER_MEMBER.multipliedBy(members.getAsInt()).toNanos();
        searchDueAt = ticker.nanos() + mean / 2 + random.nextLong(mean);
        searchFrom = store.removeExpired(searchFrom);
    }

    /** Logs the first failure of several in a row. */
    private void logFailure(IOException failure) {
        if (!failing) {
            log.event("stream_origins_failed")
                    .with("reason", String.valueOf(failure.getMessage()))
                    .with("unsaved", origins.streams().unsavedCount())
                    .write();
        }
        failing = true;
    }
}
