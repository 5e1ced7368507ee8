/** Encoding of request counts in the table service. */
package org.godwithoist.report.wire;
