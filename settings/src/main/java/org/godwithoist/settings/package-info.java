/** Settings of a daemon: addresses, failure domain and keys. */
package org.godwithoist.settings;
