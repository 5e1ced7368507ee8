/** Demonstration with real processes. */
package org.godwithoist.loadtool.demo;
