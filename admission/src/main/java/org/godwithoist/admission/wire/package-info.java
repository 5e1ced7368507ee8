/**
 * Encoding of the admission messages between daemons and of the lease rows in the table service.
 */
package org.godwithoist.admission.wire;
