/** Bundles: the operators' versioned configuration of the fleet. */
package org.godwithoist.bundle;
