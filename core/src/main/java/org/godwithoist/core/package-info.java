/** Types shared by all other modules. */
package org.godwithoist.core;
