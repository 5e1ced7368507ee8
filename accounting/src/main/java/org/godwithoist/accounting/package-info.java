/** Usage of workspaces: records, replication to a peer and settlement. */
package org.godwithoist.accounting;
