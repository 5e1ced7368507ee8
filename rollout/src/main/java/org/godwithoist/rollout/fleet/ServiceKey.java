package org.godwithoist.rollout.fleet;

import org.godwithoist.catalog.ServiceId;

/**
 * Short name of a service in messages, whose size is bounded.
 *
 * @param hash hash of the service's id
 */
public record ServiceKey(long hash) {
    /** Parameters of the 64-bit FNV-1a hash. */
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long PRIME = 0x100000001b3L;

    /** Returns the key of a service. */
    public static ServiceKey of(ServiceId service) {
        long hash = OFFSET_BASIS;
        for (int i = 0; i < service.value().length(); i++) {
            hash = (hash ^ service.value().charAt(i)) * PRIME;
        }
        return new ServiceKey(hash);
    }
}
