package org.godwithoist.admission;

/** Basis on which a daemon may use a slot. */
enum SlotSource {
    /** Granted by the owner, which counts it until it is returned or expires. */
    GRANTED(false, false),
    /**
     * Reserved slot that the owner opened, which permits its use for one TTL. The owner counts it
     * like a grant, so its use requires no contact with other members.
     */
    RESERVED_OPENED(true, false),
    /**
     * Reserved slot used while no owner grants slots. No owner can withdraw it after an operator
     * order, so its use requires contact with all members.
     */
    RESERVED_WITHOUT_OWNER(true, true);

    private final boolean reserved;
    private final boolean requiresContact;

    SlotSource(boolean reserved, boolean requiresContact) {
        this.reserved = reserved;
        this.requiresContact = requiresContact;
    }

    boolean reserved() {
        return reserved;
    }

    /** Returns whether the contact requirement of this source is met. */
    boolean mayUse(SlotPolicy policy) {
        return !requiresContact || policy.inContactWithAll();
    }
}
