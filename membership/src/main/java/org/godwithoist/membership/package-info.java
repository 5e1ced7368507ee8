/** The members of the fleet, the targets in service and the transport between daemons. */
package org.godwithoist.membership;
