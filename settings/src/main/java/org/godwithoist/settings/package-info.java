/** The settings file from which a daemon learns its addresses, failure domain and keys. */
package org.godwithoist.settings;
