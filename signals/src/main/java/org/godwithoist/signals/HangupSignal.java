package org.godwithoist.signals;

import sun.misc.Signal;

/**
 * SIGHUP, which requests a reload of the settings. Without a handler, the JVM exits on SIGHUP.
 * Registering the handler by reflection would need a dynamic proxy, whose classes slow down each
 * start.
 */
public final class HangupSignal {
    private HangupSignal() {}

    /**
     * Registers an action that runs on each SIGHUP.
     *
     * @throws IllegalArgumentException if the signal is already handled by the JVM or the operating
     *     system
     */
    public static void handle(Runnable action) {
        Signal.handle(new Signal("HUP"), signal -> action.run());
    }
}
