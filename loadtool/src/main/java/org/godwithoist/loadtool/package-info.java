/** Load generator, checkers and experiments. */
package org.godwithoist.loadtool;
