/**
 * Which version of a service's software began each stream. What two versions write does not fit
 * together, so a stream that is broken off goes on at the version that began it, or not at all. The
 * beginnings are kept in the daemon that passed on the first event, and in the store while several
 * versions of the service serve.
 */
package org.godwithoist.streams;
