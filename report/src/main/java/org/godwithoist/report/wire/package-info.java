/** Encoding of counts in the platform's store. */
package org.godwithoist.report.wire;
