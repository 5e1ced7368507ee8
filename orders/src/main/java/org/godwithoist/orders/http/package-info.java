/** HTTP adapter for orders to engines. */
package org.godwithoist.orders.http;
