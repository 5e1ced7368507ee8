package org.godwithoist.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Signal;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.TargetIncarnation;

/**
 * Requests that must not reach a target, because targets crash under them. Each crash counts
 * against all shared parts of the prompt and against the request itself, because a caller may
 * repeat a request that crashes targets by itself; a response that goes on clears them. Suspects
 * that are left with too many crashes are quarantined. Thread-safe.
 */
public final class Quarantine {
    private static final Duration MIN_QUARANTINE = Duration.ofMinutes(10);
    private static final Duration MAX_QUARANTINE = Duration.ofHours(1);

    private record QuarantinedSet(Blame blame, long endsAt) {
        boolean contains(Collection<SuspectId> suspectIds, long now) {
            return endsAt - now > 0 && suspectIds.containsAll(blame.suspectIds());
        }
    }

    private final EventLog log;
    private final Ticker ticker;
    private final Suspects suspects = new Suspects();
    private final LongAdder observedCrashes = new LongAdder();

    /** Raised when the task that saves evidence may have something to do. */
    private final Signal saves = new Signal();

    private volatile List<QuarantinedSet> quarantined = List.of();

    /**
     * Suspects that an observation of this daemon has quarantined or released, and those whose row
     * it has written and that another daemon's evidence has released.
     */
    private final Set<SuspectId> unsaved = new HashSet<>();

    /** Suspects whose row this daemon has written and not removed. */
    private final Set<SuspectId> ownRows = new HashSet<>();

    /** Raised when this daemon has observed something that others need to know. */
    private final Signal observations = new Signal();

    private final WaitingRequests waitingRequests =
            new WaitingRequests(ids -> remaining(ids).isPresent());

    /** Creates an instance without suspects. */
    public Quarantine(EventLog log, Ticker ticker) {
        this.log = log;
        this.ticker = ticker;
    }

    /**
     * Returns the time for which a request must not be sent to a target.
     *
     * @param suspectIds shared parts of the prompt, and the request itself
     * @return empty if the request may be sent
     */
    public Optional<Duration> remaining(Collection<SuspectId> suspectIds) {
        List<QuarantinedSet> current = quarantined;
        if (current.isEmpty()) {
            return Optional.empty();
        }
        long now = ticker.nanos();
        return current.stream()
                .filter(q -> q.contains(suspectIds, now))
                .map(q -> Duration.ofNanos(q.endsAt() - now))
                .max(Comparator.naturalOrder());
    }

    /** Returns the requests to withdraw when they are quarantined. */
    public WaitingRequests waitingRequests() {
        return waitingRequests;
    }

    /** Returns the number of crashes that this daemon has observed; each request counts once. */
    public long observedCrashes() {
        return observedCrashes.sum();
    }

    /** Returns the number of sets of suspects that are quarantined. */
    public int size() {
        long now = ticker.nanos();
        return (int) quarantined.stream().filter(q -> q.endsAt() - now > 0).count();
    }

    // ---- observations of this daemon

    /**
     * Records that a target crashed when it began to respond to a request.
     *
     * @param suspectIds shared parts of the request's prompt, and the request itself
     */
    public synchronized void recordCrash(TargetIncarnation target, List<SuspectId> suspectIds) {
        log.event("target_crashed")
                .with("target", target.id().value())
                .with("parts", joined(suspectIds))
                .write();
        observedCrashes.increment();
        long now = ticker.nanos();
        CrashId crash = CrashId.of(target);
        suspects.history().add(crash, now);
        PrefixKey promptKey = PrefixKey.of(joined(sharedParts(suspectIds)));
        boolean changed = false;
        for (SuspectId suspectId : suspectIds) {
            changed |= suspects.findOrAdd(suspectId, now).addCrash(crash, promptKey, now, now);
        }
        applyObservation(changed, suspectIds, now);
    }

    /**
     * Records that a target survived the beginning of its response to a request.
     *
     * @param suspectIds shared parts of the request's prompt, and the request itself
     * @param respondedAt time of the head of the response, in nanoseconds of the ticker
     */
    public synchronized void recordResponse(List<SuspectId> suspectIds, long respondedAt) {
        long now = ticker.nanos();
        boolean changed = false;
        for (SuspectId suspectId : suspectIds) {
            suspects.addAnswered(suspectId);
            Optional<Suspect> suspect = suspects.find(suspectId);
            if (suspect.isPresent()) {
                changed |= suspect.get().setAnswered(now);
                changed |= suspect.get().clearKnownAt(respondedAt, now);
            }
        }
        applyObservation(changed, suspectIds, now);
    }

    private static List<SuspectId> sharedParts(List<SuspectId> suspectIds) {
        return suspectIds.stream().filter(p -> !p.isRequest()).toList();
    }

    private void applyObservation(boolean changed, List<SuspectId> suspectIds, long now) {
        if (!changed) {
            return;
        }
        Set<SuspectId> before = quarantinedIds();
        update(true, now);
        Set<SuspectId> after = quarantinedIds();
        before.removeAll(after);
        after.retainAll(suspectIds);
        unsaved.addAll(before);
        unsaved.addAll(after);
        saves.raise();
        observations.raise();
    }

    private Set<SuspectId> quarantinedIds() {
        Set<SuspectId> suspectIds = new HashSet<>();
        quarantined.forEach(q -> suspectIds.addAll(q.blame().suspectIds()));
        return suspectIds;
    }

    // ---- exchange with the other daemons

    /**
     * Returns what the other daemons need to know, the strongest evidence first; empty unless there
     * is a suspect.
     */
    public synchronized List<SuspectEvidence> evidence() {
        long now = ticker.nanos();
        update(suspects.removeExpired(now), now);
        return suspects.evidence(now);
    }

    /**
     * Waits until this daemon has observed something that the others need to know, or for a time.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    public boolean awaitObservation(Duration timeout) {
        return observations.await(timeout);
    }

    /** Adds what another daemon knows; returns whether something was new. */
    public synchronized boolean merge(Collection<SuspectEvidence> evidence) {
        long now = ticker.nanos();
        boolean changed = false;
        for (SuspectEvidence e : evidence) {
            changed |= merge(e, now);
        }
        update(changed, now);
        if (changed) {
            saveReleasedRows();
        }
        return changed;
    }

    private boolean merge(SuspectEvidence evidence, long now) {
        Suspect suspect = suspects.findOrAdd(evidence.suspectId(), now);
        boolean changed = evidence.answered() && suspect.setAnswered(now);
        changed |= suspect.clear(evidence.cleared(), now);
        if (suspect.hasCleared(evidence.crashes().keySet())) {
            // The sender may have read them from a row that the store has brought back.
            suspect.announceAgain(now);
        }
        if (suspect.isAnswered() && !evidence.answered()) {
            // The sender may be about to refuse a request that targets have responded to.
            suspect.announceAgain(now);
            observations.raise();
        }
        for (Map.Entry<CrashId, CrashReport> e : evidence.crashes().entrySet()) {
            CrashReport crash = e.getValue();
            if (crash.age().compareTo(Suspects.CRASH_RETENTION) < 0) {
                long occurredAt = now - crash.age().toNanos();
                changed |= suspects.history().add(e.getKey(), occurredAt);
                changed |= suspect.addCrash(e.getKey(), crash.prompt(), occurredAt, now);
            }
        }
        return changed;
    }

    /** Makes the saving task remove own rows whose suspects another daemon's evidence released. */
    private void saveReleasedRows() {
        Set<SuspectId> released = new HashSet<>(ownRows);
        released.removeAll(quarantinedIds());
        if (unsaved.addAll(released)) {
            saves.raise();
        }
    }

    // ---- store

    /** Records that this daemon has written or removed the row of a suspect. */
    synchronized void recordRow(SuspectId suspectId, boolean exists) {
        if (exists) {
            ownRows.add(suspectId);
        } else {
            ownRows.remove(suspectId);
        }
    }

    /**
     * Waits until there are suspects whose stored evidence this daemon must write or remove, until
     * {@link #wakeSavingTask()} is called, or for a time.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    boolean awaitUnsaved(Duration timeout) {
        return saves.await(timeout);
    }

    /** Ends the wait of the task that saves evidence. */
    void wakeSavingTask() {
        saves.raise();
    }

    /** Returns the suspects whose stored evidence this daemon must write or remove, once. */
    synchronized Set<SuspectId> takeUnsaved() {
        Set<SuspectId> taken = Set.copyOf(unsaved);
        unsaved.clear();
        return taken;
    }

    /** Returns the evidence against a suspect; empty unless it is quarantined. */
    synchronized Optional<SuspectEvidence> quarantinedEvidence(SuspectId suspectId) {
        return suspects.find(suspectId)
                .filter(s -> quarantinedIds().contains(suspectId))
                .map(s -> s.evidence(ticker.nanos()));
    }

    /** Returns the evidence against all quarantined suspects. */
    synchronized List<SuspectEvidence> quarantinedEvidence() {
        return quarantinedIds().stream()
                .map(this::quarantinedEvidence)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns whether this daemon knows of no crash, neither counted nor cleared. */
    synchronized boolean isWithoutSuspects() {
        return suspects.all().isEmpty();
    }

    /**
     * Returns whether the stored evidence against a suspect that is not quarantined contains
     * crashes that do not count any more; false for a suspect that this daemon does not know or has
     * no room to remember.
     */
    synchronized boolean isOutdated(SuspectEvidence stored) {
        return suspects.find(stored.suspectId())
                .filter(s -> !quarantinedIds().contains(s.suspectId()))
                .filter(s -> !s.hasCrashes() || s.hasCleared(stored.crashes().keySet()))
                .isPresent();
    }

    // ---- decisions

    private void update(boolean changed, long now) {
        if (!changed) {
            return;
        }
        List<QuarantinedSet> before = quarantined;
        quarantined =
                Blame.assign(suspects.all(), suspects.history()).stream()
                        .map(b -> new QuarantinedSet(b, b.lastCrashAt() + duration(b).toNanos()))
                        .toList();
        logChanges(before, now);
        waitingRequests.withdrawQuarantined();
    }

    /**
     * Returns the duration of a quarantine, which doubles with each crash beyond the first ones.
     */
    private static Duration duration(Blame blame) {
        Duration doubled = MIN_QUARANTINE.multipliedBy(1L << blame.excessCrashes());
        return Durations.min(doubled, MAX_QUARANTINE);
    }

    private void logChanges(List<QuarantinedSet> before, long now) {
        Set<Set<SuspectId>> idsBefore = suspectIds(before);
        Set<Set<SuspectId>> idsNow = suspectIds(quarantined);
        for (QuarantinedSet q : quarantined) {
            if (!idsBefore.contains(q.blame().suspectIds())) {
                log.event("prompt_quarantined")
                        .with("parts", joined(new TreeSet<>(q.blame().suspectIds())))
                        .with("crashes", q.blame().crashes())
                        .with("for_s", Duration.ofNanos(q.endsAt() - now).toSeconds())
                        .write();
            }
        }
        for (Set<SuspectId> suspectIds : idsBefore) {
            if (!idsNow.contains(suspectIds)) {
                log.event("prompt_released")
                        .with("parts", joined(new TreeSet<>(suspectIds)))
                        .write();
            }
        }
    }

    private static Set<Set<SuspectId>> suspectIds(List<QuarantinedSet> quarantined) {
        return quarantined.stream().map(q -> q.blame().suspectIds()).collect(Collectors.toSet());
    }

    private static String joined(Collection<SuspectId> suspectIds) {
        return suspectIds.stream().map(SuspectId::value).collect(Collectors.joining(","));
    }
}
