/** JSON encoding of parts, heads and proposals. */
package org.godwithoist.bundle.json;
