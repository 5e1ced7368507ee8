/** HTTP implementation of the platform interfaces. */
package org.godwithoist.store.http;
