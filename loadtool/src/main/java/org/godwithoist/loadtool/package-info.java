/** Load generator, checks of engine logs, and experiments. */
package org.godwithoist.loadtool;
