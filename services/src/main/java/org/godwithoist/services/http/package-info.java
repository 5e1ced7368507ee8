/** HTTP front for calls to services and the adapter towards services. */
package org.godwithoist.services.http;
