/** Service-level burn report: counts of answers, error budgets, burn rates and alerts. */
package org.godwithoist.report;
