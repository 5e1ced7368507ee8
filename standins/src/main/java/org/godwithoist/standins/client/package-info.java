/** Stand-ins for clients that use more of a daemon than their requests need. */
package org.godwithoist.standins.client;
