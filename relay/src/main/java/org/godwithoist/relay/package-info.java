/**
 * News of the store in a large fleet: the leader of each failure domain follows the tables of the
 * store, and the other daemons of the domain follow them at the leader. {@link
 * org.godwithoist.relay.RelayedFeed} decides whom a daemon asks. Versions are those of the store,
 * so a daemon goes on at the store, or at another leader, from where it is.
 */
package org.godwithoist.relay;
