/** Bundles in the platform's services: the head row, proposals, and parts by content hash. */
package org.godwithoist.bundle.store;
