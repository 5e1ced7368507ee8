/** Command-line tool {@code godwithoist} for operators. */
package org.godwithoist.cli;
