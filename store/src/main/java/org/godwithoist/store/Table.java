package org.godwithoist.store;

import java.util.Locale;

/** Tables that the fleet uses in the platform's table service. */
public enum Table {
    /** One row: revision, manifest and signatures of the current bundle. */
    BUNDLE_HEAD,
    /** Stages of bundle revisions before they are rolled. */
    BUNDLE_STAGE,
    /** One row for each shard: owner, epoch and candidates. */
    SHARD_LEASE,
    /** Orders that take failure domains and hosts out of service. */
    DOMAIN_ORDER,
    /** At-most-once claims and the responses of finished requests. */
    CLAIM,
    /** Settled usage. */
    USAGE,
    /** Counters of the service-level burn report. */
    BURN,
    /** Leases for orders to engines. */
    ENGINE_ORDER;

    /** Returns the name used in requests to the table service. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
