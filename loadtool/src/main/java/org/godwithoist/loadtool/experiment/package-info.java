/** Experiments with real processes; each prints one table and checks its bounds. */
package org.godwithoist.loadtool.experiment;
