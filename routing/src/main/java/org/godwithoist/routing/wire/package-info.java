/** Placement lookups and updates between daemons. */
package org.godwithoist.routing.wire;
