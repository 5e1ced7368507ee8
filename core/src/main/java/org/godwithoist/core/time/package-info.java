/** Monotonic time, real and virtual, and deadlines. */
package org.godwithoist.core.time;
