/**
 * Change feeds of tables of the store: a snapshot of the table is read first, then its changes.
 * {@link org.godwithoist.store.feed.TableFollower} decides when to read a new snapshot and how long
 * to back off after a failure; implementations of {@link org.godwithoist.store.feed.TableFeed} send
 * the requests.
 */
package org.godwithoist.store.feed;
