/** Types that every other module uses. */
package org.godwithoist.core;
