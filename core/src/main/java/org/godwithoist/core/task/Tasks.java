package org.godwithoist.core.task;

import java.time.Duration;

/** Starts virtual-thread tasks: one for each connection and each peer. */
public final class Tasks {
    private Tasks() {}

    /**
     * Starts a task.
     *
     * @param name shown in thread dumps, for example {@code peer-host-3}
     */
    public static Thread start(String name, Runnable body) {
        return Thread.ofVirtual().name(name).start(body);
    }

    /**
     * Parks the calling task.
     *
     * @return false if the task was interrupted and should end
     */
    public static boolean sleep(Duration time) {
        try {
            Thread.sleep(time);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
