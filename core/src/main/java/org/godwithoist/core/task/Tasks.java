package org.godwithoist.core.task;

import java.time.Duration;

/** Starts tasks, which are virtual threads: one for each connection and each peer. */
public final class Tasks {
    private Tasks() {}

    /**
     * Starts a task.
     *
     * @param name name shown in thread dumps, for example {@code peer-host-3}
     */
    public static Thread start(String name, Runnable body) {
        return Thread.ofVirtual().name(name).start(body);
    }

    /**
     * Suspends the calling task.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    public static boolean sleep(Duration duration) {
        try {
            Thread.sleep(duration);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
