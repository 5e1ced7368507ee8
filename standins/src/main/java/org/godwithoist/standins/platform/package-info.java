/** Stand-in for the platform's services. */
package org.godwithoist.standins.platform;
