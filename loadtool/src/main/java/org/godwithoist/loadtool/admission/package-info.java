/** Compares ways of admitting requests to engines, in virtual time and on the same trace. */
package org.godwithoist.loadtool.admission;
