/** Common settings of HTTP servers. */
package org.godwithoist.core.http;
