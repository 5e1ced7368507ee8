/** Operators' HTTP routes for bundles and the authentication of operators. */
package org.godwithoist.bundle.http;
