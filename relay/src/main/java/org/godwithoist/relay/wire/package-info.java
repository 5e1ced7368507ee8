/** Encoding of the calls between members and leaders, and the connections that carry them. */
package org.godwithoist.relay.wire;
