/** Stand-in for a plain service. */
package org.godwithoist.standins.service;
