/** Routes and formats of the burn report. */
package org.godwithoist.report.http;
