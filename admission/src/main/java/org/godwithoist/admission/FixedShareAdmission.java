package org.godwithoist.admission;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.godwithoist.core.id.TargetId;

/**
 * Admission with a fixed number of slots for this daemon at every target. Serves as a baseline in
 * comparisons: the load is bounded by construction, but slots that other daemons do not need stay
 * unused.
 */
public final class FixedShareAdmission implements Admission {
    private final int slotsPerTarget;
    private final Map<TargetId, Semaphore> freeSlots = new ConcurrentHashMap<>();

    /**
     * Creates an admission whose slots are all free.
     *
     * @param slotsPerTarget slots of this daemon at each target
     */
    public FixedShareAdmission(int slotsPerTarget) {
        this.slotsPerTarget = slotsPerTarget;
    }

    @Override
    public Optional<Slot> acquire(SlotRequest request, Duration timeout) {
        Semaphore s =
                freeSlots.computeIfAbsent(
                        request.target(), t -> new Semaphore(slotsPerTarget, true));
        try {
            boolean acquired = s.tryAcquire(timeout.toNanos(), TimeUnit.NANOSECONDS);
            return acquired ? Optional.of(new FixedSlot(request.target(), s)) : Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    @Override
    public Duration expectedWait(TargetId target) {
        return Duration.ZERO;
    }

    private static final class FixedSlot implements Slot {
        private final TargetId target;
        private final Semaphore semaphore;
        private final AtomicBoolean released = new AtomicBoolean();

        FixedSlot(TargetId target, Semaphore semaphore) {
            this.target = target;
            this.semaphore = semaphore;
        }

        @Override
        public TargetId target() {
            return target;
        }

        @Override
        public boolean use() {
            return true;
        }

        @Override
        public void release(Outcome outcome, Duration timeToFirstToken) {
            if (released.compareAndSet(false, true)) {
                semaphore.release();
            }
        }
    }
}
