/** The operators' command line {@code godwithoist}. */
package org.godwithoist.cli;
