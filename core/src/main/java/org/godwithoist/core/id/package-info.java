/** Value types for ids. */
package org.godwithoist.core.id;
