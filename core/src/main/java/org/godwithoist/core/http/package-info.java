/** Common options of HTTP servers. */
package org.godwithoist.core.http;
