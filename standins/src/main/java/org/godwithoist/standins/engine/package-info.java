/** Stand-in for a model engine. */
package org.godwithoist.standins.engine;
