/** Limits of retries. */
package org.godwithoist.core.retry;
