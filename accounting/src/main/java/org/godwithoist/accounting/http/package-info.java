/** HTTP route for usage. */
package org.godwithoist.accounting.http;
