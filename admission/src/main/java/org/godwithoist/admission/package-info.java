/** Admission: decides how many requests each daemon may send to a target. */
package org.godwithoist.admission;
