/** Addresses on this machine. */
package org.godwithoist.core.net;
