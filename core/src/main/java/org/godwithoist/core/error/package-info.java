/** Failures of requests, with stable codes and the truth about whether the request ran. */
package org.godwithoist.core.error;
