/** HTTP routes of the accounts. */
package org.godwithoist.accounting.http;
