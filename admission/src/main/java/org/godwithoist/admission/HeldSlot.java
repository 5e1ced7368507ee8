package org.godwithoist.admission;

import java.time.Duration;
import org.godwithoist.core.id.TargetId;

/** A slot that was handed to a request. The cache that handed it out keeps its state. */
final class HeldSlot implements Slot {
    /** What a request did with its slot. */
    enum Stage {
        /** Handed out, nothing sent. */
        HELD,
        /** The request is on its way or in progress. */
        USED,
        /** Given back. */
        RELEASED
    }

    private final SlotCache origin;
    private final TargetId target;
    private final SlotSource source;
    private final long expiry;
    private final String targetIncarnation;
    private Stage stage = Stage.HELD;

    HeldSlot(
            SlotCache origin,
            TargetId target,
            SlotSource source,
            long expiry,
            String targetIncarnation) {
        this.origin = origin;
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
        return origin.use(this);
    }

    @Override
    public void release(Outcome outcome, Duration firstToken) {
        origin.release(this, outcome, firstToken);
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

    void stage(Stage next) {
        stage = next;
    }
}
