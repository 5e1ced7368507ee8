/** Storage of bundles: head row and proposals in tables, parts as objects by content hash. */
package org.godwithoist.bundle.store;
