package org.godwithoist.targets;

/**
 * What this daemon knows of the room for requests at a target.
 *
 * @param slots requests that the target processes concurrently
 * @param others requests of the other daemons at the target
 * @param own requests of this daemon at the target
 * @param queued whether the target has recently reported a request in its queue, so that its memory
 *     may be full although slots are free
 * @param complete whether the reports of all other daemons are available
 */
record Room(int slots, int others, int own, boolean queued, boolean complete) {
    /**
     * Returns the slots that are free in the view of this daemon; negative if there are more
     * requests than slots.
     */
    int free() {
        return slots - others - own;
    }
}
