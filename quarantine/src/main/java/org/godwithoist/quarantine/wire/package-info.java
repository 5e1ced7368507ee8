/** Encoding of the evidence against prompt parts, for messages and for the store. */
package org.godwithoist.quarantine.wire;
