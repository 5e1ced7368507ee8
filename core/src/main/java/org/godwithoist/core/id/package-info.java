/**
 * Value types for ids. Those that an edge daemon uses as keys write out {@code equals} and {@code
 * hashCode}: the generated methods are linked when they are first called, which lengthens each
 * start.
 */
package org.godwithoist.core.id;
