/** Messages between daemons: authentication, connections, encoding of the exchange and of rows. */
package org.godwithoist.membership.wire;
