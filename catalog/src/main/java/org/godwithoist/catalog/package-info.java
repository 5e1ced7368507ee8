/**
 * Routes, services, workspaces and limits configured by operators. {@link
 * org.godwithoist.catalog.Catalog} is one immutable version; {@link
 * org.godwithoist.catalog.CatalogState} holds the current version and rejects older ones.
 */
package org.godwithoist.catalog;
