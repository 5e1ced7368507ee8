/**
 * Orders to engines: a lease admits one sender for each pool, fencing numbers let engines reject
 * orders of an expired holder, and model loads keep to the rate limit of the weight store.
 */
package org.godwithoist.orders;
