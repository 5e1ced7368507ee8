/** Interfaces to the services of the platform, implemented in {@code http} and {@code fake}. */
package org.godwithoist.store;
