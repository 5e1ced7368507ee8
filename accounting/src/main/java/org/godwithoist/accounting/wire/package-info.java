/** Encoding of usage in rows of the platform's store and in messages between daemons. */
package org.godwithoist.accounting.wire;
