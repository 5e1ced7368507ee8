package org.godwithoist.bundle;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The bundle in force at this daemon. Only a higher revision with valid signatures replaces it, so
 * the revision never decreases. Thread-safe; reads take no lock.
 */
public final class HeadState {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Limits the log lines about rejected heads, because a peer sends such a head again in each
     * exchange.
     */
    private static final int LOG_INTERVAL_S = 10;

    private final OperatorKeys keys;
    private final List<Consumer<InForce>> listeners = new CopyOnWriteArrayList<>();
    private volatile InForce inForce;

    /**
     * Head in force with its content.
     *
     * @param head signed reference to the revision
     * @param revision content with the manifest that the head names
     */
    public record InForce(Head head, Revision revision) {}

    /** Creates a state without a head that accepts signatures of the given keys. */
    public HeadState(OperatorKeys keys) {
        this.keys = keys;
    }

    /** Returns the head in force with its content, or empty if this daemon has no head yet. */
    public Optional<InForce> inForce() {
        return Optional.ofNullable(inForce);
    }

    /** Returns the bundle in force, or empty if this daemon has no head yet. */
    public Optional<Bundle> bundle() {
        return inForce().map(f -> f.revision().bundle());
    }

    /** Returns the revision in force, or 0 if this daemon has no head yet. */
    public long revisionNumber() {
        InForce f = inForce;
        return f == null ? 0 : f.head().revision();
    }

    /** Determines whether a head from any source may replace the head in force. */
    public Verdict evaluate(Head head) {
        InForce f = inForce;
        if (f != null && head.equals(f.head())) {
            return Verdict.CURRENT;
        }
        if (head.revision() <= revisionNumber()) {
            return Verdict.OLD;
        }
        Optional<String> error = keys.validationError(head);
        error.ifPresent(
                reason ->
                        LOG.atWarning().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).log(
                                "rejected the bundle head of revision %d: %s",
                                head.revision(), reason));
        return error.isPresent() ? Verdict.INVALID : Verdict.NEWER;
    }

    /**
     * Puts a head in force if it is newer than the current one, and notifies the listeners.
     *
     * @param revision content with the manifest that the head names
     * @throws IllegalArgumentException if the manifest of the content is another one
     */
    public Verdict adopt(Head head, Revision revision) {
        if (!revision.hash().equals(head.manifest())) {
            throw new IllegalArgumentException(
                    "content of revision "
                            + head.revision()
                            + " does not match manifest "
                            + head.manifest());
        }
        InForce next = new InForce(head, revision);
        synchronized (this) {
            Verdict verdict = evaluate(head);
            if (!verdict.adoptable()) {
                return verdict;
            }
            inForce = next;
        }
        LOG.atInfo().log("bundle revision %d is in force", head.revision());
        listeners.forEach(l -> notifyListener(l, next));
        return Verdict.NEWER;
    }

    private static void notifyListener(Consumer<InForce> listener, InForce next) {
        try {
            listener.accept(next);
        } catch (RuntimeException e) {
            // The head is already in force; the other listeners must still be notified.
            LOG.atSevere().withCause(e).log(
                    "a listener failed after the adoption of a bundle; the bundle stays in force");
        }
    }

    /**
     * Registers a listener that is called after each adoption, on the adopting thread. Concurrent
     * adoptions may be reported in either order, so listeners should read {@link #inForce()}.
     */
    public void onAdopt(Consumer<InForce> listener) {
        listeners.add(listener);
    }
}
