/** HTTP routes for operators. */
package org.godwithoist.membership.http;
