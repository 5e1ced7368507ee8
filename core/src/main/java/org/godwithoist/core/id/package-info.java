/**
 * Value types for ids. Types that an edge daemon uses as map keys implement {@code equals} and
 * {@code hashCode} explicitly: the methods that records generate are linked on their first call,
 * which lengthens each start.
 */
package org.godwithoist.core.id;
