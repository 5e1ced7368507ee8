/** Life of a chat request from the caller to an engine and back. */
package org.godwithoist.chat;
