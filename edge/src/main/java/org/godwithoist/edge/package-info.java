/**
 * The edge daemon, which serves callers on the platform. This module wires the other modules
 * together and contains only the logic of the daemon itself: readiness, shutdown, logs and metrics.
 */
package org.godwithoist.edge;
