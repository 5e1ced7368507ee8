/**
 * Relay of store updates in a large fleet: the leader of each failure domain reads the changes of
 * the tables from the store, and the other daemons of the domain read them from the leader. {@link
 * org.godwithoist.relay.RelayedFeed} selects the source. Versions are those of the store, so a
 * daemon can continue from its current version at the store or at another leader.
 */
package org.godwithoist.relay;
