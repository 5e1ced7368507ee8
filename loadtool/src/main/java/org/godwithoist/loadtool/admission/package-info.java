/** Simulations in virtual time that compare admission alternatives on the same trace. */
package org.godwithoist.loadtool.admission;
