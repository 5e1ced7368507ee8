/**
 * The lease by which one daemon leads an order: its record in the store, when it is acquired,
 * renewed and lost, and the task that does so. Encodings of the rows stand elsewhere.
 */
package org.godwithoist.rollout.lease;
