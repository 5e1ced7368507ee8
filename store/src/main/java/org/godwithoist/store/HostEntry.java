package org.godwithoist.store;

import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;

/**
 * One entry of the platform's host list.
 *
 * @param kind type of process on the host
 * @param target engine or service on the host; empty for daemons
 * @param pool pool of the target; empty for daemons
 * @param address address of the process
 * @param state whether the host is in service
 */
public record HostEntry(
        HostId host,
        Kind kind,
        Optional<TargetId> target,
        Optional<PoolId> pool,
        FailureDomainId failureDomain,
        Endpoint address,
        State state) {
    /** Type of process on a host. */
    public enum Kind {
        /** A router daemon of the fleet. */
        DAEMON,
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        SERVICE;

        /** Returns whether the host is a target. */
        public boolean isTarget() {
            return this != DAEMON;
        }
    }

    /** Service state of a host. */
    public enum State {
        /** In service: may receive new work. */
        LIVE,
        /** Draining: about to be removed from service; receives no new work. */
        LEAVING;

        /** Returns whether the host may receive new work. */
        public boolean acceptsWork() {
            return this == LIVE;
        }
    }
}
