/** Real and virtual monotonic time, deadlines and durations. */
package org.godwithoist.core.time;
