/** The JSON form of parts, heads and proposals. */
package org.godwithoist.bundle.json;
