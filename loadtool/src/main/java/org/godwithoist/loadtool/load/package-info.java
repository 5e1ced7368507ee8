/** Load on real processes and checks that trust only the targets' own logs. */
package org.godwithoist.loadtool.load;
