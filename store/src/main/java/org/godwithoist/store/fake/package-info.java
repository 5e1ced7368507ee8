/** In-memory implementations with fault injection, for tests and experiments. */
package org.godwithoist.store.fake;
