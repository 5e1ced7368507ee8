/**
 * Value types for ids. Types that an edge daemon uses as map keys implement {@code equals} and
 * {@code hashCode} explicitly: the methods generated for records are linked on their first call,
 * which slows down each start.
 */
package org.godwithoist.core.id;
