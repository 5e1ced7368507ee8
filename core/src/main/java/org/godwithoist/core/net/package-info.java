/** Ports on the loopback interface. */
package org.godwithoist.core.net;
