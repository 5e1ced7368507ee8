/** Bundles: versioned, signed configuration of the fleet. */
package org.godwithoist.bundle;
