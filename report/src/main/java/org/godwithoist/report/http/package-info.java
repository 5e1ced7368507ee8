/** HTTP routes of the burn report and its HTML and JSON formats. */
package org.godwithoist.report.http;
