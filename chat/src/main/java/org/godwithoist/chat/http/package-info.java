/** HTTP encoding of chat requests: the API for callers and the client of the engines. */
package org.godwithoist.chat.http;
