/** Decides who may send work to a target. */
package org.godwithoist.admission;
