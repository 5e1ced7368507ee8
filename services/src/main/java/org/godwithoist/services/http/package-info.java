/** HTTP API for requests to services and the HTTP client of the services. */
package org.godwithoist.services.http;
