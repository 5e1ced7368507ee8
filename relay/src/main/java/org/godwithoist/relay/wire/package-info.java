/** Encoding of the messages between members and leaders, and their TCP connections. */
package org.godwithoist.relay.wire;
