/** Bundles: the versioned and signed configuration of the fleet. */
package org.godwithoist.bundle;
