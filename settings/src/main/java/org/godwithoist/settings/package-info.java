/** Settings of a daemon, read from its settings file: addresses, failure domain and keys. */
package org.godwithoist.settings;
