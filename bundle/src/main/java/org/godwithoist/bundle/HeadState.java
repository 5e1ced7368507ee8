package org.godwithoist.bundle;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The bundle in force at this daemon. Only a higher revision with valid signatures replaces it, so
 * it never reverts. Thread-safe; readers take no lock.
 */
public final class HeadState {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** A peer offers a refused head again with each exchange. */
    private static final int LOG_INTERVAL_S = 10;

    private final OperatorKeys keys;
    private final List<Consumer<InForce>> listeners = new CopyOnWriteArrayList<>();
    private volatile InForce inForce;

    /**
     * A head with its content.
     *
     * @param head the head
     * @param revision its content
     */
    public record InForce(Head head, Revision revision) {}

    /** Makes a state without a head. */
    public HeadState(OperatorKeys keys) {
        this.keys = keys;
    }

    /** Returns what is in force, or empty if this daemon has no head yet. */
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

    /** Decides about a head from anywhere. */
    public Verdict judge(Head head) {
        InForce f = inForce;
        if (f != null && head.equals(f.head())) {
            return Verdict.CURRENT;
        }
        if (head.revision() <= revisionNumber()) {
            return Verdict.OLD;
        }
        Optional<String> fault = keys.fault(head);
        fault.ifPresent(
                reason ->
                        LOG.atWarning().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).log(
                                "head of revision %d refused: %s", head.revision(), reason));
        return fault.isPresent() ? Verdict.INVALID : Verdict.NEWER;
    }

    /**
     * Puts a head in force if it is still newer.
     *
     * @param revision content with the manifest that the head names
     * @throws IllegalArgumentException if the content is not the head's
     */
    public Verdict adopt(Head head, Revision revision) {
        if (!revision.hash().equals(head.manifest())) {
            throw new IllegalArgumentException(
                    "revision " + head.revision() + " has manifest " + head.manifest());
        }
        InForce next = new InForce(head, revision);
        synchronized (this) {
            Verdict verdict = judge(head);
            if (!verdict.adoptable()) {
                return verdict;
            }
            inForce = next;
        }
        LOG.atInfo().log("bundle revision %d is in force", head.revision());
        listeners.forEach(l -> tell(l, next));
        return Verdict.NEWER;
    }

    private static void tell(Consumer<InForce> listener, InForce next) {
        try {
            listener.accept(next);
        } catch (RuntimeException e) {
            // The head is in force already; the other listeners must still be told.
            LOG.atSevere().withCause(e).log("a listener failed at the adoption of a bundle");
        }
    }

    /**
     * Registers a listener that is told of each adoption after it happened. Two adoptions in quick
     * succession may be told in either order, so a listener reads {@link #inForce()}.
     */
    public void onAdopt(Consumer<InForce> listener) {
        listeners.add(listener);
    }
}
