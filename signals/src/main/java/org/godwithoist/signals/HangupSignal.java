package org.godwithoist.signals;

import sun.misc.Signal;

/**
 * The signal that says that the settings have changed. Without a handler, the virtual machine takes
 * it as an order to end. A handler made by reflection would lengthen each start by the classes of a
 * proxy.
 */
public final class HangupSignal {
    private HangupSignal() {}

    /**
     * Has an action run at each signal.
     *
     * @throws IllegalArgumentException if another handler holds the signal
     */
    public static void handle(Runnable action) {
        Signal.handle(new Signal("HUP"), signal -> action.run());
    }
}
