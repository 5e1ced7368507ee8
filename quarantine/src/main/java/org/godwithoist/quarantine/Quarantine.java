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
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.PromptPartId;
import org.godwithoist.targets.TargetIncarnation;

/**
 * Prompts that must not reach a target, because targets crash when they begin to respond to them.
 * Each crash counts against all shared parts of the prompt and against the whole prompt, because a
 * caller may repeat a request that crashes targets by itself; a response that goes on clears them.
 * Parts that are left with too many crashes are quarantined. Thread-safe.
 */
public final class Quarantine {
    private static final Duration MIN_QUARANTINE = Duration.ofMinutes(10);
    private static final Duration MAX_QUARANTINE = Duration.ofHours(1);

    private record QuarantinedParts(Blame blame, long endsAt) {
        boolean contains(Collection<PromptPartId> prompt, long now) {
            return endsAt - now > 0 && prompt.containsAll(blame.parts());
        }
    }

    private final EventLog log;
    private final Ticker ticker;
    private final Suspects suspects = new Suspects();
    private final LongAdder observedCrashes = new LongAdder();

    /** Has a permit if the task that saves evidence may have something to do. */
    private final Semaphore saves = new Semaphore(0);

    private volatile List<QuarantinedParts> quarantined = List.of();

    /**
     * Parts that an observation of this daemon has quarantined or released, and parts whose row it
     * has written and that another daemon's evidence has released.
     */
    private final Set<PromptPartId> unsaved = new HashSet<>();

    /** Parts whose row this daemon has written and not removed. */
    private final Set<PromptPartId> ownRows = new HashSet<>();

    /** Has a permit if this daemon has observed something since the last one was taken. */
    private final Semaphore observations = new Semaphore(0);

    private final WaitingRequests waitingRequests =
            new WaitingRequests(prompt -> remaining(prompt).isPresent());

    /** Creates an instance without suspects. */
    public Quarantine(EventLog log, Ticker ticker) {
        this.log = log;
        this.ticker = ticker;
    }

    /**
     * Returns the time for which requests with a prompt must not be sent to a target.
     *
     * @param prompt shared parts of the prompt, and the whole prompt
     * @return empty if the request may be sent
     */
    public Optional<Duration> remaining(Collection<PromptPartId> prompt) {
        List<QuarantinedParts> current = quarantined;
        if (current.isEmpty()) {
            return Optional.empty();
        }
        long now = ticker.nanos();
        return current.stream()
                .filter(q -> q.contains(prompt, now))
                .map(q -> Duration.ofNanos(q.endsAt() - now))
                .max(Comparator.naturalOrder());
    }

    /** Returns the requests to withdraw when their prompt is quarantined. */
    public WaitingRequests waitingRequests() {
        return waitingRequests;
    }

    /** Returns the number of crashes that this daemon has observed; each request counts once. */
    public long observedCrashes() {
        return observedCrashes.sum();
    }

    /** Returns the number of sets of parts that are quarantined. */
    public int size() {
        long now = ticker.nanos();
        return (int) quarantined.stream().filter(q -> q.endsAt() - now > 0).count();
    }

    // ---- observations of this daemon

    /**
     * Records that a target crashed when it began to respond to a request.
     *
     * @param prompt shared parts of the request's prompt, and the whole prompt
     */
    public synchronized void recordCrash(TargetIncarnation target, List<PromptPartId> prompt) {
        log.event("target_crashed")
                .with("target", target.id().value())
                .with("parts", joined(prompt))
                .write();
        observedCrashes.increment();
        long now = ticker.nanos();
        CrashId crash = CrashId.of(target);
        PrefixKey promptKey = PrefixKey.of(joined(sharedParts(prompt)));
        boolean changed = false;
        for (PromptPartId part : prompt) {
            changed |= suspects.findOrAdd(part, now).addCrash(crash, promptKey, now, now);
        }
        applyObservation(changed, prompt, now);
    }

    /**
     * Records that a target survived the beginning of its response to a request.
     *
     * @param prompt shared parts of the request's prompt, and the whole prompt
     * @param respondedAt time of the head of the response, in nanoseconds of the ticker
     */
    public synchronized void recordResponse(List<PromptPartId> prompt, long respondedAt) {
        long now = ticker.nanos();
        boolean changed = false;
        for (PromptPartId part : prompt) {
            if (!part.isWholePrompt()) {
                suspects.addAnswered(part);
            }
            Optional<Suspect> suspect = suspects.find(part);
            if (suspect.isPresent()) {
                changed |= suspect.get().setAnswered(now);
                changed |= suspect.get().clearKnownAt(respondedAt, now);
            }
        }
        applyObservation(changed, prompt, now);
    }

    private static List<PromptPartId> sharedParts(List<PromptPartId> prompt) {
        return prompt.stream().filter(p -> !p.isWholePrompt()).toList();
    }

    private void applyObservation(boolean changed, List<PromptPartId> prompt, long now) {
        if (!changed) {
            return;
        }
        Set<PromptPartId> before = quarantinedParts();
        update(true, now);
        Set<PromptPartId> after = quarantinedParts();
        before.removeAll(after);
        after.retainAll(prompt);
        unsaved.addAll(before);
        unsaved.addAll(after);
        saves.release();
        observations.release();
    }

    private Set<PromptPartId> quarantinedParts() {
        Set<PromptPartId> parts = new HashSet<>();
        quarantined.forEach(q -> parts.addAll(q.blame().parts()));
        return parts;
    }

    // ---- exchange with the other daemons

    /**
     * Returns what the other daemons need to know, the strongest evidence first; empty unless a
     * part is suspected.
     */
    public synchronized List<PartEvidence> evidence() {
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
        return await(observations, timeout);
    }

    private static boolean await(Semaphore signal, Duration timeout) {
        try {
            if (signal.tryAcquire(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                signal.drainPermits();
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Adds what another daemon knows; returns whether something was new. */
    public synchronized boolean merge(Collection<PartEvidence> evidence) {
        long now = ticker.nanos();
        boolean changed = false;
        for (PartEvidence e : evidence) {
            changed |= merge(e, now);
        }
        update(changed, now);
        if (changed) {
            saveReleasedRows();
        }
        return changed;
    }

    private boolean merge(PartEvidence evidence, long now) {
        Suspect suspect = suspects.findOrAdd(evidence.part(), now);
        boolean changed = evidence.answered() && suspect.setAnswered(now);
        changed |= suspect.clear(evidence.cleared(), now);
        if (suspect.hasCleared(evidence.crashes().keySet())) {
            // The sender may have read them from a row that the store has brought back.
            suspect.announceAgain(now);
        }
        for (Map.Entry<CrashId, CrashReport> e : evidence.crashes().entrySet()) {
            CrashReport crash = e.getValue();
            if (crash.age().compareTo(Suspects.CRASH_RETENTION) < 0) {
                long occurredAt = now - crash.age().toNanos();
                changed |= suspect.addCrash(e.getKey(), crash.prompt(), occurredAt, now);
            }
        }
        return changed;
    }

    /** Makes the saving task remove own rows whose parts another daemon's evidence released. */
    private void saveReleasedRows() {
        Set<PromptPartId> released = new HashSet<>(ownRows);
        released.removeAll(quarantinedParts());
        if (unsaved.addAll(released)) {
            saves.release();
        }
    }

    // ---- store

    /** Records that this daemon has written or removed the row of a part. */
    synchronized void recordRow(PromptPartId part, boolean exists) {
        if (exists) {
            ownRows.add(part);
        } else {
            ownRows.remove(part);
        }
    }

    /**
     * Waits until there are parts whose stored evidence this daemon must write or remove, until
     * {@link #wakeSavingTask()} is called, or for a time.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    boolean awaitUnsaved(Duration timeout) {
        return await(saves, timeout);
    }

    /** Ends the wait of the task that saves evidence. */
    void wakeSavingTask() {
        saves.release();
    }

    /** Returns the parts whose stored evidence this daemon must write or remove, once. */
    synchronized Set<PromptPartId> takeUnsaved() {
        Set<PromptPartId> taken = Set.copyOf(unsaved);
        unsaved.clear();
        return taken;
    }

    /** Returns the evidence against a part; empty unless it is quarantined. */
    synchronized Optional<PartEvidence> quarantinedEvidence(PromptPartId part) {
        return suspects.find(part)
                .filter(s -> quarantinedParts().contains(part))
                .map(s -> s.evidence(ticker.nanos()));
    }

    /** Returns the evidence against all quarantined parts. */
    synchronized List<PartEvidence> quarantinedEvidence() {
        return quarantinedParts().stream()
                .map(this::quarantinedEvidence)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns whether this daemon knows of no crash, neither counted nor cleared. */
    synchronized boolean isWithoutSuspects() {
        return suspects.all().isEmpty();
    }

    /**
     * Returns whether the stored evidence against a part that is not quarantined contains crashes
     * that do not count any more; false for a part that this daemon does not know or has no room to
     * remember.
     */
    synchronized boolean isOutdated(PartEvidence stored) {
        return suspects.find(stored.part())
                .filter(s -> !quarantinedParts().contains(s.part()))
                .filter(s -> !s.hasCrashes() || s.hasCleared(stored.crashes().keySet()))
                .isPresent();
    }

    // ---- decisions

    private void update(boolean changed, long now) {
        if (!changed) {
            return;
        }
        List<QuarantinedParts> before = quarantined;
        quarantined =
                Blame.assign(suspects.all()).stream()
                        .map(b -> new QuarantinedParts(b, b.lastCrashAt() + duration(b).toNanos()))
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

    private void logChanges(List<QuarantinedParts> before, long now) {
        Set<Set<PromptPartId>> partsBefore = parts(before);
        Set<Set<PromptPartId>> partsNow = parts(quarantined);
        for (QuarantinedParts q : quarantined) {
            if (!partsBefore.contains(q.blame().parts())) {
                log.event("prompt_quarantined")
                        .with("parts", joined(new TreeSet<>(q.blame().parts())))
                        .with("crashes", q.blame().crashes())
                        .with("for_s", Duration.ofNanos(q.endsAt() - now).toSeconds())
                        .write();
            }
        }
        for (Set<PromptPartId> parts : partsBefore) {
            if (!partsNow.contains(parts)) {
                log.event("prompt_released").with("parts", joined(new TreeSet<>(parts))).write();
            }
        }
    }

    private static Set<Set<PromptPartId>> parts(List<QuarantinedParts> quarantined) {
        return quarantined.stream().map(q -> q.blame().parts()).collect(Collectors.toSet());
    }

    private static String joined(Collection<PromptPartId> parts) {
        return parts.stream().map(PromptPartId::value).collect(Collectors.joining(","));
    }
}
