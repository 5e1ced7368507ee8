/** Orders to engines: one writer at a time, fencing numbers and the rate of the weight store. */
package org.godwithoist.orders;
