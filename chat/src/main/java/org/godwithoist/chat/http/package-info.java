/** HTTP encoding of chat requests: the front towards callers and the adapter towards engines. */
package org.godwithoist.chat.http;
