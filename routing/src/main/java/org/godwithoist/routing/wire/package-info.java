/** Placement look-ups and updates between daemons. */
package org.godwithoist.routing.wire;
