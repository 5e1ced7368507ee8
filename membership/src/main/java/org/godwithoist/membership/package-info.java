/** Fleet members, targets in service, operator orders and the transport between daemons. */
package org.godwithoist.membership;
