/**
 * The evidence and the progress that daemons exchange while an order is in progress, and their sum
 * over the fleet.
 */
package org.godwithoist.rollout.fleet;
