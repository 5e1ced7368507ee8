/** Encoding of usage: rows in the platform's store and messages between daemons. */
package org.godwithoist.accounting.wire;
