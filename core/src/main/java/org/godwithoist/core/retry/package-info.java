/** Retry budgets. */
package org.godwithoist.core.retry;
