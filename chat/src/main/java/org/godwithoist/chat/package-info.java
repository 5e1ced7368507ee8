/** Life of a chat request: from the caller's request to the whole answer, whatever fails. */
package org.godwithoist.chat;
