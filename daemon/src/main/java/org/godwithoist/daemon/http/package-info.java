/** HTTP routes of the daemon itself: health, metrics and status. */
package org.godwithoist.daemon.http;
