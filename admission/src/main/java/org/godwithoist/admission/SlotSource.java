package org.godwithoist.admission;

/** Why a daemon may use a slot. */
enum SlotSource {
    /** The owner granted it; the owner counts it as taken until it is given back or expires. */
    GRANTED(false, false),
    /**
     * A reserved slot that the owner opened for one TTL. The owner counts it like a grant, so it
     * needs no contact with other members either.
     */
    RESERVED_OPENED(true, false),
    /**
     * A reserved slot used while no owner grants. Nobody else would stop it after an order of an
     * operator, so it needs contact with all members.
     */
    RESERVED_WITHOUT_OWNER(true, true);

    private final boolean reserved;
    private final boolean needsContact;

    SlotSource(boolean reserved, boolean needsContact) {
        this.reserved = reserved;
        this.needsContact = needsContact;
    }

    /** Returns whether the slot is one of the target's reserved slots. */
    boolean reserved() {
        return reserved;
    }

    /** Returns whether the slot may be used now. */
    boolean mayUse(SlotPolicy rules) {
        return !needsContact || rules.inContactWithAll();
    }
}
