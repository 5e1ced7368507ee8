/** The demonstration on real processes. */
package org.godwithoist.loadtool.demo;
