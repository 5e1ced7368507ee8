/** Load generation against real processes, and checks that rely only on the logs of the targets. */
package org.godwithoist.loadtool.load;
