/** Encoding of admission's messages between daemons and of its rows in the table service. */
package org.godwithoist.admission.wire;
