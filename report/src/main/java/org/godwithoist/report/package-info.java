/** Service-level burn report: request counts, error budgets, burn rates and alerts. */
package org.godwithoist.report;
