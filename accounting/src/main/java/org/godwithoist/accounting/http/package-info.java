/** HTTP route that shows the usage of all workspaces to operators. */
package org.godwithoist.accounting.http;
