/** Handles a chat request from admission to the complete response, including retries. */
package org.godwithoist.chat;
