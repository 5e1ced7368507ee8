/** Encoding of the evidence against requests and prompt parts, for messages and for the store. */
package org.godwithoist.quarantine.wire;
