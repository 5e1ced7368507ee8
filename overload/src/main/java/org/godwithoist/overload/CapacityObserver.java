package org.godwithoist.overload;

/** Receives changes of a service's capacity, for logs. Must not block. */
@FunctionalInterface
public interface CapacityObserver {
    /** Ignores all changes. */
    CapacityObserver NONE = status -> {};

    /** Called when requests to a service begin or cease to be limited. */
    void limitedChanged(ServiceStatus status);
}
