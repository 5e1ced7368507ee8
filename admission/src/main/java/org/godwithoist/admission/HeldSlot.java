package org.godwithoist.admission;

import java.time.Duration;
import org.godwithoist.core.id.TargetId;

/** Slot handed out to a request. Its state is kept by the cache that handed it out. */
final class HeldSlot implements Slot {
    /** Use of a slot by its request. */
    enum Stage {
        /** Handed out; nothing has been sent. */
        HELD,
        /** The request has been sent or is about to be sent. */
        USED,
        /** Returned to the cache. */
        RELEASED
    }

    private final SlotCache cache;
    private final TargetId target;
    private final SlotSource source;
    private final long expiry;
    private final String targetIncarnation;
    private Stage stage = Stage.HELD;

    HeldSlot(
            SlotCache cache,
            TargetId target,
            SlotSource source,
            long expiry,
            String targetIncarnation) {
        this.cache = cache;
        this.target = target;
        this.source = source;
        this.expiry = expiry;
        this.targetIncarnation = targetIncarnation;
    }

    @Override
    public TargetId target() {
        return target;
    }

    @Override
    public boolean use() {
        return cache.use(this);
    }

    @Override
    public void release(Outcome outcome, Duration timeToFirstToken) {
        cache.release(this, outcome, timeToFirstToken);
    }

    // ---- state, guarded by the cache's lock

    SlotSource source() {
        return source;
    }

    boolean reserved() {
        return source.reserved();
    }

    long expiry() {
        return expiry;
    }

    String targetIncarnation() {
        return targetIncarnation;
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage next) {
        stage = next;
    }
}
