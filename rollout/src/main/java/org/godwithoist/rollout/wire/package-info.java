/** Encoding of the reports about orders that daemons exchange. */
package org.godwithoist.rollout.wire;
