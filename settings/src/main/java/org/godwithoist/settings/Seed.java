package org.godwithoist.settings;

import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * A daemon that a starting daemon asks for the members and the bundle when the platform's host list
 * does not answer.
 *
 * @param host its host
 * @param failureDomain failure domain of its host
 * @param peer its endpoint for other daemons
 */
public record Seed(HostId host, FailureDomainId failureDomain, Endpoint peer) {}
