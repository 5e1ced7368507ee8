/** Encoding of the messages between edge daemons, and their UDP transport. */
package org.godwithoist.peers.wire;
