/**
 * Admission of requests to a service with insufficient capacity: which requests may go to targets,
 * which wait, which are refused and when their callers may return. Decides without a network.
 */
package org.godwithoist.overload;
