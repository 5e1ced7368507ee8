/** Accounting of workspace usage: recording, replication to a peer and settlement. */
package org.godwithoist.accounting;
