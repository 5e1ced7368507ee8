/** HTTP routes for bundles and authentication of operators. */
package org.godwithoist.bundle.http;
