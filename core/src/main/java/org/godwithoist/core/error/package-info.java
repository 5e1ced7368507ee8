/** Failures of requests: stable error codes and whether a target ran the request. */
package org.godwithoist.core.error;
