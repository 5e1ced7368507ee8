/** JSON with comments, read with the place of each value. */
package org.godwithoist.core.json;
