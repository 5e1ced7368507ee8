package org.godwithoist.dispatch.http;

/** Limits of the reads from a target, which depend on what becomes of its response. */
interface ReadControl {
    /** Limits the time without progress from now on, so that another target can be asked. */
    void awaitProgress();

    /** Permits that the target sends nothing until the request ends. */
    void awaitRest();

    /** Permits large reads, whose memory is reserved. */
    void permitLargeReads();
}
